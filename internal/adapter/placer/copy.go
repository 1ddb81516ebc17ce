package placer

import "strconv"

// A Copy identifies what a runner holds: a version of an adapter for a base model,
// or the model itself if Adapter is empty.
type Copy struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Version int    `cbor:"3,keyasint,omitempty"` // 0: the version that the runner loads by default
}

// String returns MODEL/ADAPTER@VERSION.
func (c Copy) String() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter + "@" + strconv.Itoa(c.Version)
}
