package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// engineSpec is what an engine process gets as its argument.
type engineSpec struct {
	ID     string   `json:"id"`
	Store  string   `json:"store"`
	Models []string `json:"models"`
	OnDisk []string `json:"on_disk"`
}

// engineOrder is a line that an engine process writes for each order that it accepted.
type engineOrder struct {
	Holder string    `json:"holder"`
	At     time.Time `json:"at"`
}

const (
	// engineCommand is the argument that makes the program run one engine.
	engineCommand = "engine"
	// copyInterval is how often an engine process looks for changes of its entry and
	// for orders.
	copyInterval = 20 * time.Millisecond
)

// runEngine runs one engine until its standard input ends. The engine is a process of its
// own so that it can fall silent as a whole.
func runEngine(spec string) int {
	var e engineSpec
	if err := json.Unmarshal([]byte(spec), &e); err != nil {
		fmt.Fprintf(os.Stderr, "probe: %v\n", err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	entries := &rpfake.Store{}
	endpoint := &rpfake.Endpoint{
		ID: e.ID, Service: "assistant", Zone: "zone-a", Slots: 8, Events: 4, EventDelay: 20 * time.Millisecond,
		LoadTime: 100 * time.Millisecond, Models: e.Models, OnDisk: e.OnDisk,
	}
	if err := endpoint.Start(entries); err != nil {
		fmt.Fprintf(os.Stderr, "probe: %v\n", err)
		return exitNotRun
	}
	defer endpoint.Stop()
	out := json.NewEncoder(os.Stdout)
	var written []byte
	told, beatAt := 0, time.Now()
	for ctx.Err() == nil {
		if time.Since(beatAt) >= heartbeat {
			beatAt = time.Now()
			_ = endpoint.Heartbeat("ready")
		}
		if entry := entries.Value("servers", e.ID); !bytes.Equal(entry, written) && writeRow(ctx, e.Store, "servers", "", e.ID, entry) == nil {
			written = entry
		}
		orders := endpoint.Orders()
		for _, order := range orders[told:] {
			_ = out.Encode(engineOrder{Holder: order.Holder, At: order.At})
		}
		told = len(orders)
		pause(ctx, copyInterval)
	}
	return exitHeld
}

// writeRow writes a row to the store without a condition.
func writeRow(ctx context.Context, store, table, part, key string, value []byte) error {
	body, err := json.Marshal(map[string]any{
		"expected": []any{}, "remove": []any{},
		"writes": []any{map[string]any{"table": table, "part": part, "key": key, "value": value}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store+"/rows-tx", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Join(fmt.Errorf("the store answered with status %d", resp.StatusCode), resp.Body.Close())
	}
	return resp.Body.Close()
}

// engineProcess is an engine that runs as a process of its own.
type engineProcess struct {
	id    string
	cmd   *exec.Cmd
	stdin io.Closer

	mu     sync.Mutex
	orders []engineOrder
}

// startEngine starts an engine process.
func (l *lab) startEngine(id string, models, onDisk []string) (*engineProcess, error) {
	spec, err := json.Marshal(engineSpec{ID: id, Store: l.storeAt.String(), Models: models, OnDisk: onDisk})
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{id: id, cmd: exec.Command(program, engineCommand, string(spec))}
	e.cmd.Stderr = os.Stderr
	stdin, err := e.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	e.stdin = stdin
	stdout, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go e.readOrders(stdout)
	l.engines = append(l.engines, e)
	l.note("started engine %s with the models %s", id, strings.Join(models, ", "))
	return e, nil
}

func (e *engineProcess) readOrders(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var order engineOrder
		if json.Unmarshal(lines.Bytes(), &order) != nil {
			continue
		}
		e.mu.Lock()
		e.orders = append(e.orders, order)
		e.mu.Unlock()
	}
}

// acceptedOrders returns the orders that the engine accepted.
func (e *engineProcess) acceptedOrders() []engineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// stop ends the engine.
func (e *engineProcess) stop() {
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	_ = e.stdin.Close()
	_ = e.cmd.Wait()
}
