package settings

import (
	"net/netip"
	"reflect"
	"time"
)

// Key describes one key of a settings file.
type Key struct {
	Section string
	Name    string
	// Type is the name of the value's type, one of the Type constants.
	Type string
	// Default is the value that is used if the key is omitted. It has no meaning if Required is
	// true.
	Default  string
	Required bool
}

// Names of value types in the documentation for operators.
const (
	TypeText      = "text"
	TypeList      = "list"
	TypeBool      = "yes or no"
	TypeInt       = "whole number"
	TypeFloat     = "number"
	TypeDuration  = "duration"
	TypeAddress   = "address"
	TypeAddresses = "list of addresses"
)

var typeNames = map[reflect.Type]string{
	reflect.TypeFor[string]():           TypeText,
	reflect.TypeFor[[]string]():         TypeList,
	reflect.TypeFor[bool]():             TypeBool,
	reflect.TypeFor[int]():              TypeInt,
	reflect.TypeFor[float64]():          TypeFloat,
	reflect.TypeFor[time.Duration]():    TypeDuration,
	reflect.TypeFor[netip.AddrPort]():   TypeAddress,
	reflect.TypeFor[[]netip.AddrPort](): TypeAddresses,
}

// Keys returns the keys that Load accepts for target, in the order of its fields.
func Keys(target any) []Key {
	var keys []Key
	root := reflect.TypeOf(target).Elem()
	for i := range root.NumField() {
		section := root.Field(i)
		for j := range section.Type.NumField() {
			field := section.Type.Field(j)
			value, hasDefault := field.Tag.Lookup("default")
			keys = append(keys, Key{
				Section: section.Tag.Get("section"), Name: field.Tag.Get("key"), Type: typeNames[field.Type],
				Default: value, Required: !hasDefault && field.Tag.Get("optional") != "true",
			})
		}
	}
	return keys
}
