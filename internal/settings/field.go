package settings

import (
	"reflect"
	"strconv"
)

const secretKey = "peer.secret"

// Field describes one setting, as its tags state it.
type Field struct {
	// Key is the dotted key.
	Key string
	// Type is the TOML type.
	Type string
	// Unit is empty for values without one.
	Unit string
	// Default is empty for a required setting.
	Default string
	// Accepted says which values are accepted.
	Accepted string
	// Section and Name are the names of the Go type and field, which carry the doc comment.
	Section string
	Name    string

	rule  rule
	value reflect.Value
}

// Fields returns all settings in the order of declaration.
func Fields() []Field { return fieldsOf(&Settings{}) }

// EdgeFields returns all settings of an edge instance in the order of declaration.
func EdgeFields() []Field { return fieldsOf(&Edge{}) }

// EdgeValues returns the values of the settings of an edge instance in the order of EdgeFields.
func EdgeValues(s *Edge) []any {
	var values []any
	for _, field := range fieldsOf(s) {
		values = append(values, field.value.Interface())
	}
	return values
}

// fieldsOf returns the settings of a document, a pointer to a struct of sections, with access to their values.
func fieldsOf(document any) []Field {
	var list []Field
	sections := reflect.ValueOf(document).Elem()
	for i := range sections.NumField() {
		section := sections.Field(i)
		sectionType := sections.Type().Field(i)
		for j := range section.NumField() {
			fieldType := section.Type().Field(j)
			rule := parseRule(fieldType.Tag.Get("accept"))
			list = append(list, Field{
				Key:      sectionType.Tag.Get("toml") + "." + fieldType.Tag.Get("toml"),
				Type:     typeName(fieldType.Type.Kind()),
				Unit:     fieldType.Tag.Get("unit"),
				Default:  fieldType.Tag.Get("default"),
				Accepted: rule.describe(),
				Section:  section.Type().Name(),
				Name:     fieldType.Name,
				rule:     rule,
				value:    section.Field(j),
			})
		}
	}
	return list
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.Int:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list of strings"
	case reflect.Bool:
		return "boolean"
	}
	return "string"
}

// SetDefaults fills in defaults for settings that are zero. It is idempotent.
func (s *Settings) SetDefaults() { provision(s) }

// provision fills in defaults of a document.
func provision(document any) {
	for _, field := range fieldsOf(document) {
		if field.Default == "" || !field.value.IsZero() {
			continue
		}
		switch field.value.Kind() {
		case reflect.String:
			field.value.SetString(field.Default)
		case reflect.Float64:
			// A default that is no number stays 0; a test checks all defaults.
			number, _ := strconv.ParseFloat(field.Default, 64)
			field.value.SetFloat(number)
		case reflect.Int:
			// A default that is no number stays 0; a test checks all defaults.
			n, _ := strconv.Atoi(field.Default)
			field.value.SetInt(int64(n))
		}
	}
}
