package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"balsamproxy/io/operator"
)

// requestTimeout bounds one request to a daemon, including the response body.
const requestTimeout = 15 * time.Second

// tokenEnvVar is the environment variable that holds the operators' token if no
// token file is given.
const tokenEnvVar = "BALSAMPROXY_OPERATOR_TOKEN"

// clientOptions are the flags for connecting to the operators' API of a daemon.
type clientOptions struct {
	Daemon    string `long:"daemon" default:"http://127.0.0.1:8083" value-name:"URL" description:"operators' address of any daemon"`
	TokenFile string `long:"token-file" value-name:"FILE" description:"file with the operators' token; otherwise $BALSAMPROXY_OPERATOR_TOKEN"`
	Authority string `long:"authority" value-name:"FILE" description:"certificates to check the daemon against"`
}

func (options clientOptions) token() (string, error) {
	if options.TokenFile == "" {
		return os.Getenv(tokenEnvVar), nil
	}
	data, err := os.ReadFile(options.TokenFile)
	if err != nil {
		return "", statusErrorf(exitInvalid, "token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (options clientOptions) client() (*http.Client, error) {
	client := &http.Client{Timeout: requestTimeout}
	if options.Authority == "" {
		return client, nil
	}
	data, err := os.ReadFile(options.Authority)
	if err != nil {
		return nil, statusErrorf(exitInvalid, "authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, statusErrorf(exitInvalid, "authority: no PEM certificate found in %s", options.Authority)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
	return client, nil
}

// call sends one request to the configuration endpoint of a daemon and decodes
// the JSON response into answer.
func (options clientOptions) call(ctx context.Context, method, query string, body []byte, answer any) error {
	token, err := options.token()
	if err != nil {
		return err
	}
	client, err := options.client()
	if err != nil {
		return err
	}
	url := strings.TrimSuffix(options.Daemon, "/") + operator.ConfigPath + query
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return statusErrorf(exitInvalid, "daemon: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return transportError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return transportError(method, err)
	}
	return nil
}

// transportError wraps an error that left a request without a complete
// response. A GET can be repeated; after any other method the outcome is unknown,
// since the daemon may have stored the document.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return statusErrorf(exitFailed, "no complete response from the daemon: %w", err)
	}
	return statusErrorf(exitOutcomeUnknown, "no complete response from the daemon; the document may have been stored: %w", err)
}

// problemError converts an error response of a daemon into an error with the
// matching exit status.
func problemError(status int, data []byte) error {
	var problem operator.Problem
	if err := json.Unmarshal(data, &problem); err != nil {
		return statusErrorf(exitFailed, "unexpected response from the daemon: HTTP status %d", status)
	}
	lines := []string{problem.Problem}
	for _, fault := range problem.Faults {
		lines = append(lines, fault.String())
	}
	if problem.Revision != 0 {
		lines = append(lines, "current revision: "+problem.Revision.String())
	}
	lines = append(lines, problem.Difference...)
	text := strings.Join(lines, "\n")
	switch status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return statusErrorf(exitInvalid, "%s", text)
	case http.StatusConflict:
		return statusErrorf(exitConflict, "%s", text)
	case http.StatusBadGateway:
		return statusErrorf(exitOutcomeUnknown, "%s", text)
	default:
		return statusErrorf(exitFailed, "%s", text)
	}
}

// documentArgument is the positional argument of a command that reads a document.
type documentArgument struct {
	File string `positional-arg-name:"FILE" required:"true" description:"document in JSON, - for standard input"`
}

func (program *program) readDocument(document documentArgument) ([]byte, error) {
	if document.File == "-" {
		return io.ReadAll(program.stdin)
	}
	data, err := os.ReadFile(document.File)
	if err != nil {
		return nil, statusErrorf(exitInvalid, "document: %w", err)
	}
	return data, nil
}

type showCommand struct {
	Client clientOptions `group:"Daemon"`

	program *program
}

// Execute prints the stored document and its revision as JSON.
func (command *showCommand) Execute([]string) error {
	var stored operator.Configuration
	if err := command.Client.call(command.program.ctx, http.MethodGet, "", nil, &stored); err != nil {
		return err
	}
	data, err := json.MarshalIndent(stored, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.program.stdout, string(data))
	return err
}

type applyCommand struct {
	Client   clientOptions    `group:"Daemon"`
	Revision int64            `long:"revision" required:"true" value-name:"N" description:"revision that you saw with config show; 0 if there was none"`
	Document documentArgument `positional-args:"true"`

	program *program
}

// Execute replaces the stored document if its revision is still the given one.
// It fails with exitOutcomeUnknown if the document was stored but is not yet in
// force on every daemon.
func (command *applyCommand) Execute([]string) error {
	data, err := command.program.readDocument(command.Document)
	if err != nil {
		return err
	}
	var accepted operator.Accepted
	query := fmt.Sprintf("?revision=%d", command.Revision)
	if err := command.Client.call(command.program.ctx, http.MethodPut, query, data, &accepted); err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.program.stdout, "revision %s: %s\n", accepted.Revision, accepted.Status)
	if err != nil {
		return err
	}
	for _, host := range accepted.Missing {
		fmt.Fprintln(command.program.stdout, "not known to hold it:", host)
	}
	if accepted.Status != operator.StatusAccepted {
		return statusErrorf(exitOutcomeUnknown, "the document is stored but not yet in force on every daemon")
	}
	return nil
}
