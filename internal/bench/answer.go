package bench

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Execution counts what one attempt of a request caused at a target for one kind.
	Execution struct {
		Kind string `json:"kind"`
		// Arrived counts the calls that reached the target, including those that it shed.
		Arrived int `json:"arrived"`
		// Runs counts the calls whose work started.
		Runs   int   `json:"runs"`
		WorkMS int64 `json:"work_ms"`
	}

	// Executions holds every execution at one target, by the value of RequestHeader
	// and by idempotency key.
	Executions struct {
		ByRequest map[string][]Execution `json:"by_request"`
		ByKey     map[string][]Execution `json:"by_key"`
	}

	// Answer is the body of a successful answer.
	Answer struct {
		Request string `json:"request"`
		Kind    string `json:"kind"`
		Target  string `json:"target"`
		Payload string `json:"payload"`
		// Checksum covers all other fields.
		Checksum string `json:"checksum"`
	}
)

// NewAnswer returns an answer to the attempt, with a payload of at least payloadBytes
// bytes and a valid checksum.
func NewAnswer(attempt, kind, target string, payloadBytes int) Answer {
	answer := Answer{Request: attempt, Kind: kind, Target: target}
	answer.Payload = strings.Repeat(kind+" ", payloadBytes/(len(kind)+1)+1)
	answer.Checksum = answer.checksum()
	return answer
}

// Intact reports whether the checksum matches the other fields.
func (a Answer) Intact() bool {
	return a.Checksum == a.checksum()
}

func (a Answer) checksum() string {
	text := strings.Join([]string{a.Request, a.Kind, a.Target, a.Payload}, "\n")
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}

func addExecution(list []Execution, delta Execution) []Execution {
	for i := range list {
		if list[i].Kind == delta.Kind {
			list[i].Arrived += delta.Arrived
			list[i].Runs += delta.Runs
			list[i].WorkMS += delta.WorkMS
			return list
		}
	}
	return append(list, delta)
}
