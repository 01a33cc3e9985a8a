package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// keyFiles reads a certificate, its key and the authority, and reads them again
// when a file changes.
type keyFiles struct {
	files settings.TLS

	mu          sync.Mutex
	changed     time.Time
	certificate tls.Certificate
	authorities *x509.CertPool
}

// load reads the files if one changed since the last time. Files that can't be
// read leave the earlier ones in use.
func (k *keyFiles) load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	var changed time.Time
	for _, path := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return oops.Wrapf(err, "[tls] file %s; name a file that this user can read", path)
		}
		if info.ModTime().After(changed) {
			changed = info.ModTime()
		}
	}
	if changed.Equal(k.changed) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return oops.Wrapf(err, "[tls] certificate %s with key %s; give a PEM pair that belongs together", k.files.Certificate, k.files.Key)
	}
	data, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return oops.Wrapf(err, "[tls] authority %s", k.files.Authority)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return oops.Errorf("[tls] authority %s: no PEM certificate in it; give the authority's certificate", k.files.Authority)
	}
	k.certificate = certificate
	k.authorities = authorities
	k.changed = changed
	return nil
}

// current returns what was read last.
func (k *keyFiles) current() (tls.Certificate, *x509.CertPool) {
	_ = k.load()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certificate, k.authorities
}

// serverTLS returns the configuration of a listener that takes only peers and
// operators with a certificate of the authority, or nil where TLS is off.
func serverTLS(files settings.TLS) (*tls.Config, error) {
	if !files.On() {
		return nil, nil
	}
	keys := &keyFiles{files: files}
	if err := keys.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := keys.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities,
			}, nil
		},
	}, nil
}

// ClientTLS returns the configuration of a client of peers and operators, or nil
// where TLS is off.
func ClientTLS(files settings.TLS) (*tls.Config, error) { return clientTLS(files) }

// clientTLS verifies the server's chain by hand, so that a changed authority
// counts at once.
func clientTLS(files settings.TLS) (*tls.Config, error) {
	if !files.On() {
		return nil, nil
	}
	keys := &keyFiles{files: files}
	if err := keys.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := keys.current()
			return &certificate, nil
		},
		// VerifyConnection below does the verification with the current authority.
		InsecureSkipVerify: true, //nolint:gosec // The chain is verified in VerifyConnection.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, authorities := keys.current()
			return verify(state, authorities)
		},
	}, nil
}

func verify(state tls.ConnectionState, authorities *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), DNSName: state.ServerName}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
