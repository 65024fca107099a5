package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/backend"
)

// HTTP is the client of callers and operators of a fleet.
var HTTP = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512},
}

// Answer is what a caller got.
type Answer struct {
	Status   int
	Verdict  verdict.Verdict
	Version  snapshot.Version
	Attempts int
	Body     []byte
}

// Call sends a request for service to the daemon at addr. header may be nil.
func Call(ctx context.Context, addr netip.AddrPort, service, method, path string, header http.Header, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	if header != nil {
		req.Header = header.Clone()
	}
	req.Host = service
	resp, err := HTTP.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode}
	a.Verdict, _ = verdict.Parse(resp.Header.Get(verdict.Header)) // MayHaveRun if there is none
	version, _ := strconv.ParseUint(resp.Header.Get("Kingcupwood-Version"), 10, 64)
	a.Version = snapshot.Version(version)
	a.Attempts, _ = strconv.Atoi(resp.Header.Get("Kingcupwood-Attempts"))
	a.Body, err = io.ReadAll(resp.Body)
	return a, err
}

// Runs returns how often requests have run on the backend server of i.
func (i *Instance) Runs(ctx context.Context) (backend.RunReport, error) {
	var report backend.RunReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Backend.String()+backend.RunsPath, nil)
	if err != nil {
		return report, err
	}
	resp, err := HTTP.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	return report, json.NewDecoder(resp.Body).Decode(&report)
}

// AdminClient returns a client of the administration API of one daemon.
func (i *Instance) AdminClient() *operator.Client {
	return operator.NewClient([]netip.AddrPort{i.Admin}, adminToken, HTTP)
}

// Version returns the configuration version in force on the daemon of i.
func (i *Instance) Version(ctx context.Context) (snapshot.Version, error) {
	status, err := i.AdminClient().Daemon(ctx)
	return status.Version, err
}

// WaitVersion waits until every given daemon has version v in force, and returns how long it took.
func WaitVersion(ctx context.Context, instances []*Instance, v snapshot.Version) (time.Duration, error) {
	start := time.Now()
	for _, i := range instances {
		for {
			got, err := i.Version(ctx)
			if err == nil && got >= v {
				break
			}
			select {
			case <-ctx.Done():
				return time.Since(start), ctx.Err()
			case <-time.After(pollInterval):
			}
		}
	}
	return time.Since(start), nil
}

// pollInterval separates two questions about the same state.
const pollInterval = 20 * time.Millisecond

// WaitReady waits until the daemon of every instance knows n ready backend servers of service.
func WaitReady(ctx context.Context, instances []*Instance, service string, n int) error {
	for _, i := range instances {
		for !i.knowsReady(ctx, service, n) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (i *Instance) knowsReady(ctx context.Context, service string, n int) bool {
	message, err := i.AdminClient().Endpoints(ctx)
	if err != nil {
		return false
	}
	ready := 0
	for _, e := range message.Endpoints {
		if e.Service == service && e.State == "ready" {
			ready++
		}
	}
	return ready >= n
}
