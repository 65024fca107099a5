package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/lib/event"
)

// Period of the announcements and timeout of each request.
const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// announceLoop announces the server every announceInterval, and immediately when it becomes ready.
func (s *Server) announceLoop(ctx context.Context) {
	ready := time.NewTimer(time.Until(s.readyAt))
	defer ready.Stop()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-ready.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) {
	if err := s.announce(ctx); err != nil && ctx.Err() == nil {
		s.log.Log(event.StandinAnnounceFailed, zap.Error(err))
	}
}

func (s *Server) announce(ctx context.Context) error {
	body, err := json.Marshal(backend.Announcement{
		Service: s.settings.Server.Service, Address: s.address,
		State: s.state().String(), Slots: s.settings.Server.Slots, Connections: s.settings.Server.Connections,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + s.settings.Daemon.Announce.String() + backend.AnnouncePath
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("daemon responded with status %s", resp.Status)
	}
	return nil
}
