package http1

import (
	"strconv"
	"strings"
)

// parseHead reads a head with its lines' ends. Names and values are parts of one text.
func parseHead(head string) (Answer, error) {
	line, rest := cutLine(head)
	answer := Answer{Length: -1}
	var err error
	if answer.Status, err = parseStatus(line); err != nil {
		return answer, err
	}
	answer.Fields = make(Fields, 0, strings.Count(rest, "\n"))
	for {
		line, rest = cutLine(rest)
		if line == "" {
			return answer, nil
		}
		field, err := parseField(line)
		if err != nil {
			return answer, err
		}
		if strings.EqualFold(field.Name, "Content-Length") {
			if err := answer.takeLength(field.Value); err != nil {
				return answer, err
			}
		}
		answer.Fields = append(answer.Fields, field)
	}
}

func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

func parseStatus(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, ErrMalformed
	}
	digits, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	if err != nil || len(digits) != 3 || status < 100 {
		return 0, ErrMalformed
	}
	return status, nil
}

// parseField reads one line. A line that begins with a space would go on from the one
// before, which nobody sends any more and receivers may refuse.
func parseField(line string) (Field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return Field{}, ErrMalformed
	}
	value = strings.Trim(value, " \t")
	if !isValue(value) {
		return Field{}, ErrMalformed
	}
	return Field{Name: name, Value: value}, nil
}

func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// tokenBytes are the bytes that a name of a field is made of.
var tokenBytes = func() (set [256]bool) {
	const all = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for i := range len(all) {
		set[all[i]] = true
	}
	return set
}()

// takeLength takes in an announced length. Two that differ leave open where the answer
// ends.
func (a *Answer) takeLength(text string) error {
	length, err := strconv.ParseUint(text, 10, 63)
	if err != nil || a.Length >= 0 && a.Length != int64(length) {
		return ErrMalformed
	}
	a.Length = int64(length)
	return nil
}
