package bench

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

// controlTimeout is the time-out of calls to the control addresses of stand-ins.
const controlTimeout = 5 * time.Second

// injectFaults sets each fault of the trace at its time.
func (l *Load) injectFaults(ctx context.Context, start time.Time) {
	faults := slices.Clone(l.Config.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for _, fault := range faults {
		if !l.sleep(ctx, fault.At-l.Clock.Now().Sub(start)) {
			return
		}
		for _, address := range l.faultAddresses(fault) {
			if err := l.postFaults(ctx, address, fault.Values); err != nil {
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

func (l *Load) postFaults(ctx context.Context, address string, values map[string]any) error {
	body, err := json.Marshal(values)
	if err != nil {
		return badTraceError.Wrap(err, "encode fault")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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

// collectExecutions reads the executions of every target, and returns the names of those
// that could not be read.
func (l *Load) collectExecutions() (list []Executions, unreachable []string) {
	for _, target := range l.Config.Targets {
		executions, err := l.fetchExecutions(target.Address)
		if err != nil {
			unreachable = append(unreachable, target.Name)
			continue
		}
		list = append(list, executions)
	}
	return list, unreachable
}

func (l *Load) fetchExecutions(address string) (Executions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
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
