package scenario

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

// certificatesMain writes NAME-ca.pem, NAME.pem and NAME.key: an authority and a
// certificate of it for the loopback address.
func certificatesMain(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: certificates NAME")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: args[0]}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	authorityData, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano() + 1), Subject: pkix.Name{CommonName: args[0] + " node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	leafData, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return err
	}
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	files := []struct{ path, kind string }{
		{args[0] + "-ca.pem", "CERTIFICATE"}, {args[0] + ".pem", "CERTIFICATE"}, {args[0] + ".key", "PRIVATE KEY"},
	}
	for i, data := range [][]byte{authorityData, leafData, keyData} {
		block := pem.EncodeToMemory(&pem.Block{Type: files[i].kind, Bytes: data})
		if err := os.WriteFile(files[i].path, block, 0o600); err != nil {
			return err
		}
	}
	return nil
}
