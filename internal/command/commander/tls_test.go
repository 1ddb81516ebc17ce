package commander_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
)

// An authority is a certificate authority that signs instance certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	t    *testing.T
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	template := certificate("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// sign writes a certificate, its key and the authority's certificate into dir.
func (a *authority) sign(dir string) {
	a.t.Helper()
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, certificate("instance"), a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: secret},
		"ca.pem":   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func tlsLine(dir string) string {
	return "tls: {cert: " + dir + "/cert.pem, key: " + dir + "/key.pem, ca: " + dir + "/ca.pem}"
}

// Two instances authenticate each other with certificates of one CA. A third one
// with the correct secret but a certificate of another CA must be rejected by
// both. After it is given a certificate of the first CA and receives SIGHUP, it
// must be accepted without a restart.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	c := newClusterWithoutInstances(t, true)
	ours, other := newAuthority(t), newAuthority(t)
	foreignDir := t.TempDir()
	other.sign(foreignDir)
	for _, id := range []string{"a-1", "a-2"} {
		dir := t.TempDir()
		ours.sign(dir)
		c.launch(id, "a", tlsLine(dir))
	}
	c.launch("a-3", "a", tlsLine(foreignDir))
	seesLive := func(by, id string) bool {
		s, ok := c.status(by)
		if !ok {
			return false
		}
		for _, p := range s.Peers {
			if p.Instance == id && p.Health == string(heartbeater.Live) {
				return true
			}
		}
		return false
	}
	waitFor(t, "the first two see each other as live", func() bool { return seesLive("a-1", "a-2") && seesLive("a-2", "a-1") })
	waitFor(t, "the third is listed", func() bool {
		s, _ := c.status("a-1")
		return len(s.Peers) == 2
	})
	if seesLive("a-1", "a-3") || seesLive("a-3", "a-1") {
		t.Error("an instance with a certificate of another CA was accepted")
	}
	ours.sign(foreignDir)
	c.instance("a-3").signal(syscall.SIGHUP)
	waitFor(t, "the third is accepted after the reload", func() bool { return seesLive("a-1", "a-3") && seesLive("a-3", "a-1") })
}
