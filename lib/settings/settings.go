// Package settings reads INI settings files into structs with strict validation. An unknown section
// or key, an invalid value or a missing value is an error that names the file, the section and the
// key.
package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Error is one error in a settings file. Key is empty if the error concerns the whole section.
type Error struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: section [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: section [%s]: key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// Errors holds all errors found in a settings file.
type Errors []*Error

// Error implements error. The text has one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads the INI file at path into target, a pointer to a struct whose fields are structs with
// the tag `section:"name"`. Each of their fields has the tag `key:"name"`. If the key may be
// omitted, the field also has `default:"value"`, or `optional:"true"` to leave it unchanged.
// Supported field types are string, bool, int, float64, time.Duration (with a unit),
// netip.AddrPort, []string and []netip.AddrPort (comma separated). Load returns Errors with every
// error found, or another error if the file cannot be read or parsed.
func Load(path string, target any) error {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, path)
	if err != nil {
		return errors.Wrapf(err, "read settings file %s", path)
	}
	d := decoder{path: path, file: file, declared: map[string]map[string]bool{}}
	root := reflect.ValueOf(target).Elem()
	for i := range root.NumField() {
		name := root.Type().Field(i).Tag.Get("section")
		d.section(name, root.Field(i))
	}
	d.rejectUndeclared()
	if len(d.errs) > 0 {
		return d.errs
	}
	return nil
}

type decoder struct {
	path     string
	file     *ini.File
	declared map[string]map[string]bool
	errs     Errors
}

func (d *decoder) fail(section, key, format string, args ...any) {
	d.errs = append(d.errs, &Error{File: d.path, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) section(name string, into reflect.Value) {
	d.declared[name] = map[string]bool{}
	for i := range into.NumField() {
		field := into.Type().Field(i)
		key := field.Tag.Get("key")
		d.declared[name][key] = true
		raw, ok := d.lookup(name, key, field.Tag)
		if !ok {
			continue
		}
		if err := decodeValue(raw, into.Field(i)); err != nil {
			d.fail(name, key, "%v", err)
		}
	}
}

func (d *decoder) lookup(section, key string, tag reflect.StructTag) (string, bool) {
	if s, err := d.file.GetSection(section); err == nil && s.HasKey(key) {
		return s.Key(key).String(), true
	}
	if value, ok := tag.Lookup("default"); ok {
		return value, true
	}
	if tag.Get("optional") != "true" {
		d.fail(section, key, "a value is required")
	}
	return "", false
}

func (d *decoder) rejectUndeclared() {
	for _, section := range d.file.Sections() {
		name := section.Name()
		keys, ok := d.declared[name]
		if !ok && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			d.fail(name, "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				d.fail(name, key.Name(), "unknown key")
			}
		}
	}
}

func decodeValue(raw string, into reflect.Value) error {
	switch target := into.Addr().Interface().(type) {
	case *string:
		*target = raw
	case *bool:
		return parseInto(target, raw, parseBool)
	case *int:
		return parseInto(target, raw, parseInt)
	case *float64:
		return parseInto(target, raw, parseFloat)
	case *time.Duration:
		return parseInto(target, raw, parseDuration)
	case *netip.AddrPort:
		return parseInto(target, raw, parseAddr)
	case *[]string:
		*target = splitList(raw)
	case *[]netip.AddrPort:
		return parseInto(target, raw, parseAddrs)
	default:
		return errors.Errorf("unsupported field type %s", into.Type())
	}
	return nil
}

func parseInto[T any](target *T, raw string, parse func(string) (T, error)) error {
	value, err := parse(raw)
	if err != nil {
		return err
	}
	*target = value
	return nil
}

func parseBool(raw string) (bool, error) {
	switch raw {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, errors.Errorf("%q is not yes or no", raw)
}

func parseInt(raw string) (int, error) {
	value, err := strconv.Atoi(raw)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", raw)
	}
	return value, nil
}

func parseFloat(raw string) (float64, error) {
	value, err := strconv.ParseFloat(raw, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a number", raw)
	}
	return value, nil
}

func parseDuration(raw string) (time.Duration, error) {
	value, err := time.ParseDuration(raw)
	if err != nil || value < 0 {
		return 0, errors.Errorf("%q is not a duration with a unit, such as 250ms or 3s", raw)
	}
	return value, nil
}

func parseAddr(raw string) (netip.AddrPort, error) {
	value, err := netip.ParseAddrPort(raw)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP address with a port, such as 127.0.0.1:7000", raw)
	}
	return value, nil
}

func parseAddrs(raw string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, item := range splitList(raw) {
		addr, err := parseAddr(item)
		if err != nil {
			return nil, err
		}
		list = append(list, addr)
	}
	return list, nil
}

func splitList(raw string) []string {
	var list []string
	for item := range strings.SplitSeq(raw, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
