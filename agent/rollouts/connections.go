package rollouts

import (
	"net/rpc"
	"sync"
)

// connections holds open net/rpc connections by address. The zero value is empty.
type connections struct {
	mu   sync.Mutex
	open map[string]*rpc.Client
}

func (c *connections) get(addr string) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[addr]
}

func (c *connections) put(addr string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[string]*rpc.Client{}
	}
	c.open[addr] = client
}

func (c *connections) drop(addr string) {
	c.mu.Lock()
	client := c.open[addr]
	delete(c.open, addr)
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// closeAll closes all connections.
func (c *connections) closeAll() {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for _, client := range open {
		_ = client.Close()
	}
}
