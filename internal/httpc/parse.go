package httpc

import (
	"strconv"
	"strings"
)

// parseHead parses a head including its line breaks. The names and values are substrings
// of the head.
func parseHead(head string) (Response, error) {
	line, rest := cutLine(head)
	response := Response{Length: -1}
	var err error
	if response.Status, err = parseStatus(line); err != nil {
		return response, err
	}
	response.Fields = make(Fields, 0, strings.Count(rest, "\n"))
	for {
		line, rest = cutLine(rest)
		if line == "" {
			return response, nil
		}
		field, err := parseField(line)
		if err != nil {
			return response, err
		}
		if strings.EqualFold(field.Name, "Content-Length") {
			if err := response.setLength(field.Value); err != nil {
				return response, err
			}
		}
		response.Fields = append(response.Fields, field)
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
	if err != nil || len(digits) != 3 || !isInterimStatus(status) && !IsFinalStatus(status) {
		return 0, ErrMalformed
	}
	return status, nil
}

// IsFinalStatus reports whether a status may end a response. Statuses above 599 are invalid,
// and a client that gets one cannot know what became of its request.
func IsFinalStatus(status int) bool {
	return status >= 200 && status <= 599
}

func isInterimStatus(status int) bool {
	return status >= 100 && status <= 199
}

// parseField parses one field line. A line that begins with a space, the obsolete folding
// of a value over several lines, is malformed: no sender uses it any more, and receivers
// may reject it.
func parseField(line string) (Field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return Field{}, ErrMalformed
	}
	value = strings.Trim(value, " \t")
	if !isFieldValue(value) {
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

// tokenBytes are the bytes allowed in a field name.
var tokenBytes = func() (set [256]bool) {
	const all = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for i := range len(all) {
		set[all[i]] = true
	}
	return set
}()

// setLength sets the announced length. Two lengths that differ are malformed, since they
// leave open where the response ends.
func (r *Response) setLength(text string) error {
	length, err := strconv.ParseUint(text, 10, 63)
	if err != nil || r.Length >= 0 && r.Length != int64(length) {
		return ErrMalformed
	}
	r.Length = int64(length)
	return nil
}
