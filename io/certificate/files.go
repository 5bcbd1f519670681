// Package certificate serves TLS identities from files, and reads the files
// anew when they change, without ending connections.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/core/settings"
)

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

var errNoAuthority = errors.New("certificate: the authority file holds no certificate")

// Files is one TLS identity kept in files.
type Files struct {
	names settings.Certificate

	mutex     sync.Mutex
	checkedAt time.Time
	changedAt time.Time
	identity  *tls.Certificate
	authority *x509.CertPool
}

// Open reads the files of an identity. It fails if one cannot be used.
func Open(names settings.Certificate) (*Files, error) {
	files := &Files{names: names}
	return files, files.load()
}

func (files *Files) load() error {
	identity, err := tls.LoadX509KeyPair(files.names.CertificateFile, files.names.PrivateKeyFile)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	authority, err := files.loadAuthority()
	if err != nil {
		return err
	}
	files.identity = &identity
	files.authority = authority
	files.changedAt = files.modified()
	return nil
}

func (files *Files) loadAuthority() (*x509.CertPool, error) {
	if files.names.AuthorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(files.names.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errNoAuthority
	}
	return pool, nil
}

// modified returns the latest change of any of the files.
func (files *Files) modified() time.Time {
	var latest time.Time
	for _, name := range []string{files.names.CertificateFile, files.names.PrivateKeyFile, files.names.AuthorityFile} {
		information, err := os.Stat(name)
		if err == nil && information.ModTime().After(latest) {
			latest = information.ModTime()
		}
	}
	return latest
}

// current returns the identity, read anew if the files changed. Files that
// cannot be used leave the former identity in place.
func (files *Files) current() (*tls.Certificate, *x509.CertPool) {
	files.mutex.Lock()
	defer files.mutex.Unlock()
	now := time.Now()
	if now.Sub(files.checkedAt) > checkInterval {
		files.checkedAt = now
		if !files.modified().Equal(files.changedAt) {
			_ = files.load()
		}
	}
	return files.identity, files.authority
}

// ServerConfig returns the configuration of a listener. With an authority, clients
// must show a certificate that it signed.
func (files *Files) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity, authority := files.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*identity}}
			if authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = authority
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration to dial a host, whose certificate must
// name it.
func (files *Files) ClientConfig(host balsamproxy.HostID) *tls.Config {
	identity, authority := files.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*identity},
		RootCAs:      authority,
		ServerName:   string(host),
	}
}
