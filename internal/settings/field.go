package settings

import (
	"reflect"
	"strconv"
)

// secretKey is the key of the setting whose value must not appear in errors and logs.
const secretKey = "peer.secret"

// Field describes one setting according to its struct tags.
type Field struct {
	// Key is the dotted key.
	Key string
	// Type is the TOML type.
	Type string
	// Unit is the unit of the value, empty if it has none.
	Unit string
	// Default is the text of the default value, empty for a required setting.
	Default string
	// Accepted describes the accepted values.
	Accepted string
	// Section and Name are the names of the Go struct type and field whose doc comment documents the setting.
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

// fieldsOf returns the settings of a document, which is a pointer to a struct of sections. The fields refer to the values
// in the document.
func fieldsOf(document any) []Field {
	var fields []Field
	sections := reflect.ValueOf(document).Elem()
	for i := range sections.NumField() {
		section := sections.Field(i)
		sectionType := sections.Type().Field(i)
		for j := range section.NumField() {
			fieldType := section.Type().Field(j)
			rule := parseRule(fieldType.Tag.Get("accept"))
			fields = append(fields, Field{
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
	return fields
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

// SetDefaults sets settings that are zero to their defaults. It is idempotent.
func (s *Settings) SetDefaults() { setDefaults(s) }

// setDefaults sets the zero values of a document, as in fieldsOf, to their defaults.
func setDefaults(document any) {
	for _, field := range fieldsOf(document) {
		if field.Default == "" || !field.value.IsZero() {
			continue
		}
		switch field.value.Kind() {
		case reflect.String:
			field.value.SetString(field.Default)
		case reflect.Float64:
			// An invalid default results in 0. A test checks the defaults.
			number, _ := strconv.ParseFloat(field.Default, 64)
			field.value.SetFloat(number)
		case reflect.Int:
			// An invalid default results in 0. A test checks the defaults.
			n, _ := strconv.Atoi(field.Default)
			field.value.SetInt(int64(n))
		}
	}
}
