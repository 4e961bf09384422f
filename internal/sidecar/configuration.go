package sidecar

import (
	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
)

// ApplyConfig puts a configuration in force for the balancer and, by notify, for those who read requests: both happen in
// one event of the actor. It returns once that is done.
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

// SetSocketLimit changes how many connections to servers may be open. None is closed for it.
func (s *Sidecar) SetSocketLimit(sockets int) { s.endpointConfig.Sockets.SetLimit(sockets) }

// SetPeerProcessActive says whether another process of this sidecar serves too, as during an upgrade: the two then share
// one attempt budget.
func (s *Sidecar) SetPeerProcessActive(active bool) { s.mailbox <- peerProcessChanged{active} }

// SetPeerProcessInFlightIDs replaces the ids of the requests that another process of this sidecar has in flight. Requests with
// such an id are answered as duplicates.
func (s *Sidecar) SetPeerProcessInFlightIDs(ids []string) {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	s.mailbox <- peerProcessInFlightChanged{set}
}

// SetRecorder has an audit trail kept. It must be called before Run.
func (s *Sidecar) SetRecorder(recorder auditevent.Recorder) {
	if s.recorder, s.endpointsSeq = recorder, -1; s.startConfig.LastEndpoints != nil {
		s.endpointsSeq = s.startConfig.LastEndpoints.Seq
	}
	s.settingsVersion, s.settingsDigest = s.startConfig.SettingsVersion, s.startConfig.SettingsDigest
	s.updateConfigVersion()
}

// ConfigVersion returns the audit id of the configuration in force; 0 without an audit trail.
func (s *Sidecar) ConfigVersion() auditevent.ConfigVersionID {
	return auditevent.ConfigVersionID(s.configVersion.Load())
}

// updateConfigVersion has the recorder assign an id to the settings and the endpoint list in force.
func (s *Sidecar) updateConfigVersion() {
	if s.recorder != nil {
		s.configVersion.Store(uint32(s.recorder.SetVersion(s.settingsVersion, s.settingsDigest, s.endpointsSeq)))
	}
}

// record adds an audit event under the configuration in force.
func (s *Sidecar) record(kind auditevent.Kind, requestID, note string) (ref auditevent.Ref) {
	if s.recorder != nil {
		ref = s.recorder.Record(kind, s.ConfigVersion(), requestID, note)
	}
	return ref
}

// sourceOf returns how the settings say that the endpoint list is served.
func sourceOf(settings *decide.Settings) discovery.Source {
	return discovery.Source{FromAgent: settings.EndpointsPushed, BalancerCount: settings.BalancerCount}
}

// withPushedEndpoints returns the settings for the balancer: to it the list is always pushed, since discovery.Client polls.
func withPushedEndpoints(settings decide.Settings) decide.Settings {
	settings.EndpointsPushed = true
	return settings
}
