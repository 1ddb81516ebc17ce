package configurer

// A Switch turns a part of an instance on or off.
type Switch string

// The values of Switch.
const (
	Auto Switch = "auto" // as the deployment's configuration calls for it
	Off  Switch = "off"
	On   Switch = "on"
)

// Resolve returns On or Off: auto decides where the settings leave it open.
func (s Switch) Resolve(auto bool) Switch {
	switch {
	case s == On, s != Off && auto:
		return On
	default:
		return Off
	}
}

// A Load switches the decisions for uneven or excessive load.
type Load struct {
	Ahead Switch `yaml:"ahead"` // load copies of adapters ahead of demand
	Order Switch `yaml:"order"` // order waiting prompts by priority and account
	Pace  Switch `yaml:"pace"`  // use the pace that runners state
	Quota Switch `yaml:"quota"` // admit urgent requests first within a quota
}

// check validates the switches.
func (l Load) check(c checker) error {
	for _, f := range []field[Switch]{{"load.ahead", l.Ahead}, {"load.order", l.Order}, {"load.pace", l.Pace}, {"load.quota", l.Quota}} {
		switch f.value {
		case Auto, Off, On:
		default:
			return c.fault(f.name, "%q is unknown; write %s, %s or %s", f.value, Auto, On, Off)
		}
	}
	return nil
}
