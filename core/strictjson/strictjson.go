// Package strictjson decodes JSON documents strictly: it rejects unknown and
// duplicate fields, and reports every fault with its JSON pointer.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 32

// Fault is one reason for rejecting a document.
type Fault struct {
	// Pointer is the JSON pointer (RFC 6901) to the invalid value; empty means
	// the whole document.
	Pointer string `json:"pointer"`
	Problem string `json:"problem"`
}

// String formats the fault as "pointer: problem".
func (fault Fault) String() string {
	pointer := fault.Pointer
	if pointer == "" {
		pointer = "(document)"
	}
	return pointer + ": " + fault.Problem
}

// Faults is the error for a rejected document.
type Faults []Fault

// Error returns all faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault with a formatted problem.
func (faults *Faults) Add(pointer, format string, args ...any) {
	*faults = append(*faults, Fault{Pointer: pointer, Problem: fmt.Sprintf(format, args...)})
}

// Err returns the faults as an error, or nil if there are none.
func (faults Faults) Err() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// Child appends a member name or an array index to a JSON pointer, escaped as
// RFC 6901 requires.
func Child(pointer string, step any) string {
	text := fmt.Sprint(step)
	text = strings.ReplaceAll(text, "~", "~0")
	text = strings.ReplaceAll(text, "/", "~1")
	return pointer + "/" + text
}

// Decode decodes data into value, a pointer to a struct with json tags. It
// rejects unknown and duplicate fields, wrong types and trailing data, and
// returns all faults found. A field that is absent keeps its value. If there are
// faults in the structure of the document, value is left unchanged.
func Decode(data []byte, value any) Faults {
	tree, faults := parse(data)
	if len(faults) > 0 {
		return faults
	}
	checker := checker{}
	checker.checkRoot(tree, value)
	if len(checker.faults) > 0 {
		return checker.faults
	}
	if err := json.Unmarshal(data, value); err != nil {
		return Faults{{Problem: err.Error()}}
	}
	return nil
}

type parser struct {
	decoder *json.Decoder
	faults  Faults
}

func parse(data []byte) (any, Faults) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	parser := parser{decoder: decoder}
	tree, err := parser.parseValue("", 0)
	if err == nil {
		err = parser.expectEnd()
	}
	if err != nil {
		parser.faults.Add("", "not valid JSON at byte %d: %s", decoder.InputOffset(), unexpectedEOF(err))
	}
	return tree, parser.faults
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (parser *parser) expectEnd() error {
	_, err := parser.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.New("data after the document")
}

func (parser *parser) parseValue(pointer string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deep")
	}
	token, err := parser.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return parser.parseObject(pointer, depth)
	case json.Delim('['):
		return parser.parseArray(pointer, depth)
	}
	return token, nil
}

func (parser *parser) parseObject(pointer string, depth int) (any, error) {
	object := map[string]any{}
	for parser.decoder.More() {
		token, err := parser.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.New("object member without a name")
		}
		child := Child(pointer, name)
		member, err := parser.parseValue(child, depth+1)
		if err != nil {
			return nil, err
		}
		if _, found := object[name]; found {
			parser.faults.Add(child, "stands twice")
		}
		object[name] = member
	}
	_, err := parser.decoder.Token()
	return object, err
}

func (parser *parser) parseArray(pointer string, depth int) (any, error) {
	array := []any{}
	for parser.decoder.More() {
		element, err := parser.parseValue(Child(pointer, strconv.Itoa(len(array))), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, element)
	}
	_, err := parser.decoder.Token()
	return array, err
}
