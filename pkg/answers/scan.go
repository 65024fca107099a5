package answers

import (
	"strings"

	"gopkg.in/ini.v1"
)

// statement is a line with a section header or a key and its value.
type statement struct {
	line    int
	section string
	key     string
	value   string
	// invalid is set if the line is neither a section header nor a key and its value.
	invalid bool
}

// byteOrderMark is written by some editors at the start of a UTF-8 file.
const byteOrderMark = "\ufeff"

var lineOptions = ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true}

// scan splits data into statements. The INI library does not report line numbers, so scan passes it
// one line at a time. Values that span several lines are therefore invalid.
func scan(data []byte) []statement {
	var statements []statement
	number := 0
	for text := range strings.Lines(strings.TrimPrefix(string(data), byteOrderMark)) {
		number++
		if s, ok := scanLine(strings.TrimSpace(text)); ok {
			s.line = number
			statements = append(statements, s)
		}
	}
	return statements
}

// scanLine parses one line. It returns false for empty lines and comments.
func scanLine(text string) (statement, bool) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return statement{}, false
	}
	file, err := ini.LoadSources(lineOptions, []byte(text))
	if err != nil {
		return statement{invalid: true}, true
	}
	if text[0] == '[' {
		sections := file.SectionStrings()
		return statement{section: strings.Join(strings.Fields(sections[len(sections)-1]), " ")}, true
	}
	keys := file.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return statement{invalid: true}, true
	}
	return statement{key: keys[0].Name(), value: keys[0].Value()}, true
}
