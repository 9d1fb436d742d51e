package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

// askTimeout bounds calls to the switches and counters of stand-ins.
const askTimeout = 5 * time.Second

// switchFaults switches each fault of the trace at its time.
func (l *Load) switchFaults(ctx context.Context, start time.Time) {
	faults := slices.Clone(l.Config.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for _, fault := range faults {
		if !l.sleep(ctx, fault.At-l.Clock.Now().Sub(start)) {
			return
		}
		for _, address := range l.faultAddresses(fault) {
			if err := l.post(ctx, address, fault.Switch); err != nil {
				fmt.Fprintln(os.Stderr, "fieldlab: fault not switched:", err)
			}
		}
	}
}

func (l *Load) faultAddresses(fault Fault) []string {
	var addresses []string
	if fault.Platform {
		addresses = append(addresses, l.Config.Platform)
	}
	for _, target := range l.Config.Targets {
		if slices.Contains(fault.Targets, target.Name) || slices.Contains(fault.Targets, target.Service) {
			addresses = append(addresses, target.Address)
		}
	}
	for _, wire := range l.Config.Wires {
		if slices.Contains(fault.Wires, wire.Name) {
			addresses = append(addresses, wire.Address)
		}
	}
	return addresses
}

func (l *Load) post(ctx context.Context, address string, values map[string]any) error {
	body, err := json.Marshal(values)
	if err != nil {
		return badTrace.Wrap(err, "fault")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/-/faults", bytes.NewReader(body))
	if err != nil {
		return callError.Wrap(err, "%s", address)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return callError.Wrap(err, "%s", address)
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return callError.New("%s answered %s", address, answer.Status)
	}
	return nil
}

// executions asks every target what it ran, and names those that do not answer.
func (l *Load) executions() (done []Executions, silent []string) {
	for _, target := range l.Config.Targets {
		executions, err := l.ask(target.Address)
		if err != nil {
			silent = append(silent, target.Name)
			continue
		}
		done = append(done, executions)
	}
	return done, silent
}

func (l *Load) ask(address string) (Executions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/executions", nil)
	if err != nil {
		return Executions{}, callError.Wrap(err, "%s", address)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return Executions{}, callError.Wrap(err, "%s", address)
	}
	defer answer.Body.Close()
	var executions Executions
	err = json.NewDecoder(answer.Body).Decode(&executions)
	return executions, err
}
