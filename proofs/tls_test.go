package proofs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"balsamproxy/core/settings"
	"balsamproxy/io/peer"
)

// authority is a certificate authority for one test.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "authority.pem")
	writePEM(t, file, "CERTIFICATE", der)
	return &authority{t: t, certificate: certificate, key: key, file: file}
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate and a new private key for a name and returns their
// files. If into is not empty, its files are replaced.
func (authority *authority) issue(name string, serial int64, into settings.Certificate) settings.Certificate {
	t := authority.t
	t.Helper()
	if into.Empty() {
		directory := t.TempDir()
		into = settings.Certificate{
			CertificateFile: filepath.Join(directory, "certificate.pem"),
			PrivateKeyFile:  filepath.Join(directory, "key.pem"),
			AuthorityFile:   authority.file,
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, into.PrivateKeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t, into.CertificateFile, "CERTIFICATE", der)
	return into
}

// enableTLS configures certificates for all listeners of a daemon.
func (daemon *daemon) enableTLS(t *testing.T, authority *authority) {
	t.Helper()
	daemon.settings.AllowPlain = false
	daemon.settings.PeerTLS = authority.issue(string(daemon.settings.Host), 2, settings.Certificate{})
	listener := daemon.settings.PeerTLS
	listener.AuthorityFile = ""
	daemon.settings.CallerTLS = listener
	daemon.settings.OperatorTLS = listener
	data, err := json.Marshal(daemon.settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(daemon.settingsFile, data, 0o600))
}

// TestLinksNeedCertificates guards against peer links that are accepted without a
// certificate of the dialling host. It also checks that replaced certificate files
// are loaded without interrupting the links.
func TestLinksNeedCertificates(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	fleet := newFleet(t, 2)
	for _, daemon := range fleet.daemons {
		daemon.enableTLS(t, trusted)
	}
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	fleet.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	fleet.scheme = "https"
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	cases := map[string]struct {
		certificate *settings.Certificate
		host        string
		accepted    bool
	}{
		"no certificate":              {nil, "host-0", false},
		"unknown authority":           {issueFiles(untrusted, "host-0"), "host-0", false},
		"certificate of another host": {issueFiles(trusted, "host-9"), "host-0", false},
		"certificate of the host":     {issueFiles(trusted, "host-0"), "host-0", true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := dialLink(fleet.daemons[1], pool, test.certificate, test.host)
			assert.Equal(t, err == nil, test.accepted, "%v", err)
		})
	}
	renewed := fleet.daemons[1]
	trusted.issue(string(renewed.settings.Host), 77, renewed.settings.PeerTLS)
	fleet.await(func() (bool, string) {
		return servedSerial(t, renewed, pool) == 77, "the previous certificate is still presented"
	})
	assert.Equal(t, fleet.send(fleet.daemons[0], "GET", "/venues/1").status, http.StatusOK)
	assert.Equal(t, fleet.daemons[0].log.count("member gone"), 0)
}

func issueFiles(authority *authority, name string) *settings.Certificate {
	files := authority.issue(name, 3, settings.Certificate{})
	return &files
}

func dialLink(daemon *daemon, pool *x509.CertPool, files *settings.Certificate, host string) error {
	config := &tls.Config{RootCAs: pool, ServerName: string(daemon.settings.Host)}
	if files != nil {
		pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.PrivateKeyFile)
		if err != nil {
			return err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	dialer := websocket.Dialer{TLSClientConfig: config, HandshakeTimeout: 5 * time.Second}
	conn, response, err := dialer.Dial("wss://"+daemon.settings.PeerAddress+peer.LinkPath, http.Header{peer.HeaderHost: {host}})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return err
	}
	return conn.Close()
}

// servedSerial returns the serial number of the certificate that a daemon presents.
func servedSerial(t *testing.T, daemon *daemon, pool *x509.CertPool) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", daemon.settings.CallerAddress, &tls.Config{RootCAs: pool})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
