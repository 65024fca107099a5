package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	host = "wiki.example"
	// clientsPerMachine and clientPause set the load.
	clientsPerMachine = 2
	clientPause       = 80 * time.Millisecond
	timeBudget        = 1500 * time.Millisecond
)

// request sends one request on a new connection and returns the status, 0 without an answer.
func request(address, method, path, id, body string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeBudget))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nKingcupwood-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, headerRequest, id, timeBudget.Milliseconds(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runClients sends views and saves for a service to the daemon of m until end.
func (m *machine) runClients(all *sync.WaitGroup, service string, end time.Time) {
	for c := range clientsPerMachine {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id, method, path, body := fmt.Sprintf("%s-%d-%d", m.name, c, n), http.MethodGet, "/"+service+"/view/page", ""
				if n%2 == 1 {
					method, path, body = http.MethodPost, "/"+service+"/save/page", "text of "+id
				}
				m.d.rec.log("client of %s sends %s %s %s", m.name, id, method, path)
				status := request(m.outbound, method, path, id, body)
				m.d.rec.log("client of %s gets %d for %s", m.name, status, id)
				m.d.answered(id, status)
				time.Sleep(clientPause)
			}
		})
	}
}
