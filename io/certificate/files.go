// Package certificate provides TLS configurations whose certificates are
// loaded from files and reloaded when the files change. Open connections are
// not affected by a reload.
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

// checkInterval is the minimum time between two checks for modified files.
const checkInterval = time.Second

var errNoAuthority = errors.New("certificate: authority file contains no PEM certificate")

// Files is a TLS identity loaded from files. It is safe for concurrent use.
type Files struct {
	paths settings.Certificate

	mutex         sync.Mutex
	lastCheck     time.Time
	loadedModTime time.Time
	identity      *tls.Certificate
	authority     *x509.CertPool
}

// Open loads an identity. It returns an error if any of its files is missing
// or invalid.
func Open(paths settings.Certificate) (*Files, error) {
	files := &Files{paths: paths}
	return files, files.load()
}

func (files *Files) load() error {
	identity, err := tls.LoadX509KeyPair(files.paths.CertificateFile, files.paths.PrivateKeyFile)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	authority, err := files.loadAuthority()
	if err != nil {
		return err
	}
	files.identity = &identity
	files.authority = authority
	files.loadedModTime = files.latestModTime()
	return nil
}

func (files *Files) loadAuthority() (*x509.CertPool, error) {
	if files.paths.AuthorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(files.paths.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errNoAuthority
	}
	return pool, nil
}

// latestModTime returns the most recent modification time of the files.
func (files *Files) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{files.paths.CertificateFile, files.paths.PrivateKeyFile, files.paths.AuthorityFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the identity and the certificate authorities, reloading them
// if the files have changed. If loading fails, the previous ones stay in use.
func (files *Files) current() (*tls.Certificate, *x509.CertPool) {
	files.mutex.Lock()
	defer files.mutex.Unlock()
	now := time.Now()
	if now.Sub(files.lastCheck) > checkInterval {
		files.lastCheck = now
		if !files.latestModTime().Equal(files.loadedModTime) {
			_ = files.load()
		}
	}
	return files.identity, files.authority
}

// ServerConfig returns the configuration of a TLS listener. If an authority
// file is configured, clients must present a certificate signed by one of its
// authorities.
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

// ClientConfig returns the configuration for dialling a host. The certificate
// of the server must be valid for the host ID as its server name.
func (files *Files) ClientConfig(host balsamproxy.HostID) *tls.Config {
	identity, authority := files.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*identity},
		RootCAs:      authority,
		ServerName:   string(host),
	}
}
