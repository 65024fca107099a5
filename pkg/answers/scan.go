package answers

import (
	"strings"

	"gopkg.in/ini.v1"
)

// statement is a section header or a key with its value.
type statement struct {
	line    int
	section string
	key     string
	value   string
	// bad is set if the line is neither of them.
	bad bool
}

// byteOrderMark is what some editors put at the start of a UTF-8 file.
const byteOrderMark = "\ufeff"

var lineOptions = ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true}

// scan splits data into statements. The INI library reports no line numbers, so it is given one line
// at a time; values that span lines are therefore refused.
func scan(data []byte) []statement {
	var list []statement
	number := 0
	for text := range strings.Lines(strings.TrimPrefix(string(data), byteOrderMark)) {
		number++
		if s, ok := scanLine(strings.TrimSpace(text)); ok {
			s.line = number
			list = append(list, s)
		}
	}
	return list
}

// scanLine returns false for an empty line and a comment.
func scanLine(text string) (statement, bool) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return statement{}, false
	}
	file, err := ini.LoadSources(lineOptions, []byte(text))
	if err != nil {
		return statement{bad: true}, true
	}
	if text[0] == '[' {
		sections := file.SectionStrings()
		return statement{section: strings.Join(strings.Fields(sections[len(sections)-1]), " ")}, true
	}
	keys := file.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return statement{bad: true}, true
	}
	return statement{key: keys[0].Name(), value: keys[0].Value()}, true
}
