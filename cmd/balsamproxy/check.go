package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"balsamproxy/core/config"
	"balsamproxy/io/operator"
	"balsamproxy/platform"
)

// inForceMaxBytes is the maximum size of the version in force, as large as a document
// that the daemons accept from their stores.
const inForceMaxBytes = 8 << 20

const formatPlatform = "platform"

type checkCommand struct {
	InForce   string           `long:"in-force" value-name:"FILE|URL" description:"version in force, to list the differences from it; the token is sent only to the path of the operators' API"`
	JSON      bool             `long:"json" description:"print the result as JSON"`
	Format    string           `long:"format" choice:"own" choice:"platform" default:"own" description:"format of the documents: of balsamproxy daemon, or of the platform (balsamproxy mesh)"`
	TokenFile string           `long:"token-file" value-name:"FILE" description:"file with the operators' token; otherwise $BALSAMPROXY_OPERATOR_TOKEN"`
	Authority string           `long:"authority" value-name:"FILE" description:"certificates to check the server of the URL against"`
	Document  documentArgument `positional-args:"true"`

	program *program
}

// checkResult is the JSON form of the result.
type checkResult struct {
	Valid    bool             `json:"valid"`
	Findings []config.Finding `json:"findings"`
	// Differences is nil if no version in force was given, or if the document
	// cannot be decoded.
	Differences []config.Change `json:"differences,omitzero"`

	document *config.Document
}

// Execute checks a document and compares it with the version in force.
func (command *checkCommand) Execute([]string) error {
	data, err := command.program.readDocument(command.Document)
	if err != nil {
		return err
	}
	result := command.check(data)
	if command.InForce != "" {
		inForce, err := command.readInForce()
		if err != nil {
			return err
		}
		if result.document != nil {
			result.Differences = config.Changes(inForce, result.document)
		}
	}
	return command.report(result)
}

// check decodes and checks a document.
func (command *checkCommand) check(data []byte) *checkResult {
	result := &checkResult{Findings: []config.Finding{}}
	linter := config.Linter{Now: time.Now()}
	if command.Format == formatPlatform {
		document, _, err := platform.DecodeDocument(data)
		if err != nil {
			result.Findings = append(result.Findings, config.Finding{Severity: config.SeverityError, Message: err.Error()})
			return result
		}
		result.document, linter.Mesh = document, true
	} else {
		document, faults := config.Parse(data)
		if len(faults) > 0 {
			result.Findings = config.FindingsOf(faults)
			return result
		}
		result.document = document
	}
	result.Findings = append(result.Findings, linter.Lint(result.document)...)
	result.Valid = true
	for index, finding := range result.Findings {
		result.Valid = result.Valid && finding.Severity != config.SeverityError
		if command.Format == formatPlatform {
			result.Findings[index].Pointer = platform.DocumentPointer(finding.Pointer)
		}
	}
	return result
}

// report prints the result. Errors are returned as an error if it is printed as text.
func (command *checkCommand) report(result *checkResult) error {
	stdout := command.program.stdout
	if command.JSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		if err := encoder.Encode(result); err != nil {
			return err
		}
		if !result.Valid {
			return statusErrorf(exitInvalid, "invalid document")
		}
		return nil
	}
	problems := []string{}
	for _, finding := range result.Findings {
		if finding.Severity == config.SeverityError {
			problems = append(problems, finding.String())
			continue
		}
		fmt.Fprintln(stdout, finding)
	}
	for _, change := range result.Differences {
		fmt.Fprintln(stdout, change)
	}
	if !result.Valid {
		return statusErrorf(exitInvalid, "invalid document:\n%s", strings.Join(problems, "\n"))
	}
	_, err := fmt.Fprintf(stdout, "good: %d client accounts, %d routes\n",
		len(result.document.ClientAccounts), len(result.document.Routes))
	return err
}

// readInForce reads and decodes the version in force. It may break rules that are
// newer than it.
func (command *checkCommand) readInForce() (*config.Document, error) {
	data, err := command.readInForceData()
	if err != nil {
		return nil, err
	}
	if command.Format == formatPlatform {
		document, _, err := platform.DecodeDocument(data)
		if err != nil {
			return nil, statusErrorf(exitInvalid, "version in force: %w", err)
		}
		return document, nil
	}
	var stored operator.Configuration
	if err := json.Unmarshal(data, &stored); err == nil && stored.Document != nil {
		data = stored.Document
	}
	document := &config.Document{}
	if err := json.Unmarshal(data, document); err != nil {
		return nil, statusErrorf(exitInvalid, "version in force: %w", err)
	}
	return document, nil
}

func (command *checkCommand) readInForceData() ([]byte, error) {
	if !strings.HasPrefix(command.InForce, "http://") && !strings.HasPrefix(command.InForce, "https://") {
		data, err := os.ReadFile(command.InForce)
		if err != nil {
			return nil, statusErrorf(exitInvalid, "version in force: %w", err)
		}
		return data, nil
	}
	data, err := command.fetchInForce()
	var failure *statusError
	if err != nil && !errors.As(err, &failure) {
		return nil, statusErrorf(exitFailed, "version in force: %w", err)
	}
	return data, err
}

// fetchInForce reads the version in force from a URL. The token is for the operators'
// API only.
func (command *checkCommand) fetchInForce() ([]byte, error) {
	options := clientOptions{TokenFile: command.TokenFile, Authority: command.Authority}
	client, err := options.client()
	if err != nil {
		return nil, err
	}
	address, err := url.Parse(command.InForce)
	if err != nil {
		return nil, statusErrorf(exitInvalid, "version in force: %w", err)
	}
	request, err := http.NewRequestWithContext(command.program.ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return nil, statusErrorf(exitInvalid, "version in force: %w", err)
	}
	if address.Path == operator.ConfigPath {
		token, err := options.token()
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("HTTP status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, inForceMaxBytes+1))
	if err == nil && len(data) > inForceMaxBytes {
		err = fmt.Errorf("longer than %d bytes", inForceMaxBytes)
	}
	return data, err
}
