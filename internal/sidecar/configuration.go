package sidecar

import (
	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// ApplyConfig puts a configuration in force. It calls notify with the new settings in the same event in which the balancer
// gets them, so that the readers of requests and the balancer switch together. It returns after notify.
func (s *Sidecar) ApplyConfig(conf *config.Config, notify func(*decide.Settings)) {
	done := make(chan struct{})
	s.mailbox <- configChanged{conf, notify, done}
	<-done
	s.discovery.SetSource(sourceOf(&conf.Settings))
}

func (s *Sidecar) onConfigChanged(now int64, conf *config.Config) {
	s.settings, s.transport = &conf.Settings, conf.Transport
	s.settingsVersion, s.settingsDigest = conf.SettingsVersion, conf.SettingsDigest
	s.updateConfigVersion()
	s.endpointConfig.SetTimeouts(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
	settings := withPushedEndpoints(conf.Settings)
	e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.UpdateSettings(now, settings) }}
	if conf.Shadow != nil {
		shadowed := withPushedEndpoints(conf.Shadow.Settings)
		e.ApplyShadow = func(b *decide.Balancer) { b.UpdateSettings(now, shadowed) }
	}
	s.dispatch(e)
}

// SetSocketLimit changes the limit of open connections to servers. It closes no open connection.
func (s *Sidecar) SetSocketLimit(sockets int) { s.endpointConfig.Sockets.SetLimit(sockets) }

// AdoptServerSocket counts an open connection to a server that was taken over from another process, even above the limit. The
// caller calls release once it has closed the connection.
func (s *Sidecar) AdoptServerSocket() (release func()) { return s.endpointConfig.Sockets.Adopt() }

// Hosts returns the monitor of the servers' hosts, for streams that were taken over from another process.
func (s *Sidecar) Hosts() *upstream.HostMonitor { return s.endpointConfig.Hosts }

// SetPeerProcessActive sets whether another process of this sidecar also serves requests, as during an upgrade. The two
// processes then share one attempt budget.
func (s *Sidecar) SetPeerProcessActive(active bool) { s.mailbox <- peerProcessChanged{active} }

// SetPeerProcessInFlightIDs replaces the ids of the requests that another process of this sidecar has in flight. A request
// with such an id gets the response DuplicateID.
func (s *Sidecar) SetPeerProcessInFlightIDs(ids []string) {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	s.mailbox <- peerProcessInFlightChanged{set}
}

// SetRecorder sets the recorder of the audit log. It must be called before Run.
func (s *Sidecar) SetRecorder(recorder auditevent.Recorder) {
	if s.recorder, s.endpointsSeq = recorder, -1; s.startConfig.LastEndpoints != nil {
		s.endpointsSeq = s.startConfig.LastEndpoints.Seq
	}
	s.settingsVersion, s.settingsDigest = s.startConfig.SettingsVersion, s.startConfig.SettingsDigest
	s.updateConfigVersion()
}

// ConfigVersion returns the id in the audit log of the configuration in force, or 0 without an audit log.
func (s *Sidecar) ConfigVersion() auditevent.ConfigVersionID {
	return auditevent.ConfigVersionID(s.configVersion.Load())
}

// updateConfigVersion gets the id of the settings and the endpoint list in force from the recorder.
func (s *Sidecar) updateConfigVersion() {
	if s.recorder != nil {
		s.configVersion.Store(uint32(s.recorder.SetVersion(s.settingsVersion, s.settingsDigest, s.endpointsSeq)))
	}
}

// record writes an event to the audit log, if there is one, under the configuration in force.
func (s *Sidecar) record(kind auditevent.Kind, requestID, note string) (ref auditevent.Ref) {
	if s.recorder != nil {
		ref = s.recorder.Record(kind, s.ConfigVersion(), requestID, note)
	}
	return ref
}

// sourceOf returns the source of the endpoint list according to the settings.
func sourceOf(settings *decide.Settings) discovery.Source {
	return discovery.Source{FromAgent: settings.EndpointsPushed, BalancerCount: settings.BalancerCount}
}

// withPushedEndpoints returns the settings for the balancer. In them the list is always pushed, because discovery.Client
// does the polling.
func withPushedEndpoints(settings decide.Settings) decide.Settings {
	settings.EndpointsPushed = true
	return settings
}
