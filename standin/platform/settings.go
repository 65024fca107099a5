package platform

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"kingcupwood.example/kingcupwood/lib/settings"
)

// Default names of the table and the bucket.
const (
	DefaultTable  = "kingcupwood"
	DefaultBucket = "kingcupwood"
)

const (
	mainSection    = "platform"
	operatorPrefix = "operator "
	sha256Bytes    = 32
)

// Keys describes the keys of a settings file. The name of an operator's section is operatorPrefix
// followed by the operator's name; there may be several such sections.
var Keys = []settings.Key{
	{Section: mainSection, Name: "listen", Type: settings.TypeAddress, Required: true},
	{Section: mainSection, Name: "table", Type: settings.TypeText, Default: DefaultTable},
	{Section: mainSection, Name: "bucket", Type: settings.TypeText, Default: DefaultBucket},
	{Section: operatorPrefix, Name: "token-sha256", Type: settings.TypeText, Required: true},
	{Section: operatorPrefix, Name: "services", Type: settings.TypeList, Required: true},
}

// Operator is an operator account in the table.
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 of the bearer token in lower-case hexadecimal.
	TokenSHA256 string
	// Services lists the services that the operator may revise; "*" means all services.
	Services []string
}

// row returns the table row that agent/store reads to authenticate the operator.
func (o Operator) row() item {
	return item{
		PartitionKey: stringValue("operator#" + o.TokenSHA256),
		SortKey:      stringValue("operator"),
		"operator":   stringValue(o.Name),
		"services":   {SS: o.Services},
	}
}

// Config holds the settings of the stand-in.
type Config struct {
	Listen    netip.AddrPort
	Table     string
	Bucket    string
	Operators []Operator
}

// LoadConfig reads the INI file at path. If it is invalid, the error is a settings.Errors with every
// error found.
func LoadConfig(path string) (Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, path)
	if err != nil {
		return Config{}, errors.Wrapf(err, "read settings file %s", path)
	}
	l := loader{path: path}
	config := l.config(file)
	if len(l.errs) > 0 {
		return Config{}, l.errs
	}
	return config, nil
}

type loader struct {
	path string
	errs settings.Errors
}

func (l *loader) addError(section, key, format string, args ...any) {
	l.errs = append(l.errs, &settings.Error{File: l.path, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) config(file *ini.File) Config {
	config := Config{Table: DefaultTable, Bucket: DefaultBucket}
	if !file.HasSection(mainSection) {
		l.addError(mainSection, "", "the section is required")
	}
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == mainSection:
			l.main(section, &config)
		case strings.HasPrefix(name, operatorPrefix):
			config.Operators = append(config.Operators, l.operator(section))
		case name != ini.DefaultSection || len(section.Keys()) > 0:
			l.addError(name, "", "unknown section")
		}
	}
	return config
}

func (l *loader) main(section *ini.Section, config *Config) {
	l.rejectUnknown(section, mainSection)
	addr, err := netip.ParseAddrPort(section.Key("listen").String())
	if err != nil {
		l.addError(mainSection, "listen", "%q is not an IP address with a port, such as 127.0.0.1:7000", section.Key("listen").String())
	}
	config.Listen = addr
	config.Table = section.Key("table").MustString(DefaultTable)
	config.Bucket = section.Key("bucket").MustString(DefaultBucket)
}

func (l *loader) operator(section *ini.Section) Operator {
	l.rejectUnknown(section, operatorPrefix)
	operator := Operator{
		Name:        strings.TrimSpace(strings.TrimPrefix(section.Name(), operatorPrefix)),
		TokenSHA256: section.Key("token-sha256").String(),
		Services:    section.Key("services").Strings(","),
	}
	digest, err := hex.DecodeString(operator.TokenSHA256)
	if err != nil || len(digest) != sha256Bytes || strings.ToLower(operator.TokenSHA256) != operator.TokenSHA256 {
		l.addError(section.Name(), "token-sha256", "a SHA-256 in lower-case hexadecimal is required")
	}
	if len(operator.Services) == 0 {
		l.addError(section.Name(), "services", "a list of services or * is required")
	}
	return operator
}

// rejectUnknown reports the keys of section that Keys does not list for this kind of section.
func (l *loader) rejectUnknown(section *ini.Section, kind string) {
	for _, key := range section.Keys() {
		isKnown := func(k settings.Key) bool { return k.Section == kind && k.Name == key.Name() }
		if !slices.ContainsFunc(Keys, isKnown) {
			l.addError(section.Name(), key.Name(), "unknown key")
		}
	}
}
