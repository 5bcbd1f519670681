package strictjson

import (
	"encoding"
	"encoding/json"
	"maps"
	"reflect"
	"sort"
	"strings"
)

// checker checks a parsed JSON tree against a Go type.
type checker struct {
	faults Faults
}

func (checker *checker) checkRoot(tree, value any) {
	checker.check(tree, reflect.TypeOf(value).Elem(), "")
}

func (checker *checker) check(tree any, want reflect.Type, pointer string) {
	if reflect.PointerTo(want).Implements(textUnmarshalerType) {
		checker.checkText(tree, want, pointer)
		return
	}
	switch want.Kind() {
	case reflect.Pointer:
		checker.check(tree, want.Elem(), pointer)
	case reflect.Struct:
		checker.checkStruct(tree, want, pointer)
	case reflect.Slice:
		checker.checkSlice(tree, want, pointer)
	case reflect.String:
		checker.checkString(tree, pointer)
	case reflect.Bool:
		checker.checkBool(tree, pointer)
	default:
		checker.checkNumber(tree, want, pointer)
	}
}

func (checker *checker) checkStruct(tree any, want reflect.Type, pointer string) {
	object, ok := tree.(map[string]any)
	if !ok {
		checker.faults.Add(pointer, "must be an object")
		return
	}
	fields := fieldsByName(want)
	for _, name := range sortedNames(object) {
		child := Child(pointer, name)
		field, known := fields[name]
		if !known {
			checker.faults.Add(child, "unknown field")
			continue
		}
		checker.check(object[name], field, child)
	}
}

func fieldsByName(want reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, want.NumField())
	for index := range want.NumField() {
		field := want.Field(index)
		if field.Anonymous {
			maps.Copy(fields, fieldsByName(field.Type))
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

func sortedNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkSlice accepts null as an empty array, because encoding/json encodes a nil
// slice as null.
func (checker *checker) checkSlice(tree any, want reflect.Type, pointer string) {
	if tree == nil {
		return
	}
	array, ok := tree.([]any)
	if !ok {
		checker.faults.Add(pointer, "must be an array")
		return
	}
	for index, element := range array {
		checker.check(element, want.Elem(), Child(pointer, index))
	}
}

func (checker *checker) checkString(tree any, pointer string) {
	if _, ok := tree.(string); !ok {
		checker.faults.Add(pointer, "must be a string")
	}
}

// textUnmarshalerType is implemented by types that decode from a JSON string.
var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (checker *checker) checkText(tree any, want reflect.Type, pointer string) {
	text, ok := tree.(string)
	if !ok {
		checker.faults.Add(pointer, "must be a string")
		return
	}
	unmarshaler, ok := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return
	}
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		checker.faults.Add(pointer, "%q: %s", text, err.Error())
	}
}

func (checker *checker) checkBool(tree any, pointer string) {
	if _, ok := tree.(bool); !ok {
		checker.faults.Add(pointer, "must be true or false")
	}
}

func (checker *checker) checkNumber(tree any, want reflect.Type, pointer string) {
	number, ok := tree.(json.Number)
	if !ok {
		checker.faults.Add(pointer, "must be a number")
		return
	}
	value := reflect.New(want)
	if err := json.Unmarshal([]byte(number), value.Interface()); err != nil {
		checker.faults.Add(pointer, "%s is no %s", number, want.Kind())
	}
}
