package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/evacuation"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// minCoordinatorCallTime is the minimum duration of a request for whose quota the
// coordinator was asked: a call between data centres takes over 2 ms. A refusal
// that took less time was decided by the daemon alone.
const minCoordinatorCallTime = 2 * time.Millisecond

// burstRefillTime is the time after a change of the coordinator in which a
// refusal for quota may be due to that change. The burst of an account is about
// one second of its rate.
const burstRefillTime = 2 * time.Second

// cause returns the cause that the lines show, and what to look at next.
func cause(s scope, related []Line) (text, nextStep string) {
	if s.finished.Message == "" {
		return "The daemon wrote no line about the end of the request: it was killed or lost power, or the line was dropped.",
			"Look for `daemon started` and `log lines dropped` after the last line."
	}
	if inputs, ok := strings.CutPrefix(s.finished.Fields["outcome"], result.NoRoomPrefix); ok {
		return fmt.Sprintf("%s had no room for a request of its priority (%s), and it could not be on time any more.", s.finished.Fields["service"], inputs),
			"`instances ordered`, `instance gone` and `instance crashed`; the account and route that have most `request finished` lines at that time."
	}
	switch s.code {
	case result.OK:
		return successCause(s), "A fleet that is too small shows in `instances ordered` lines."
	case result.AccountLimit:
		return quotaCause(s, related)
	case result.StoreUnavailable:
		return "The daemon had no proof that its configuration and account keys were current." + lostDependency(s, related, "store"),
			"The store, or the network path from this daemon to it."
	case result.Draining:
		return "The daemon was stopping.", "A planned restart; clients go to other daemons."
	case result.NoUpstream:
		if s.finished.Fields["outcome"] == evacuation.RefusalDetail {
			return fmt.Sprintf("All data centres with instances of %s were evacuated by order of the operators.", s.finished.Fields["service"]),
				"`evacuation ordered` and `evacuation taken back` on the daemon; take an order back, or start instances elsewhere."
		}
		return fmt.Sprintf("No instance of %s could take the request.", s.finished.Fields["service"]) + lastAttempt(s),
			"`instances ordered` with an error, `instance gone`, and the share of a roll-out."
	case result.OrderOutcomeUnknown:
		return "The request was sent and may have run; it must not be repeated." + lastAttempt(s),
			"Ask the application for the request's ID before it is sent again."
	case result.UpstreamIncomplete, result.UpstreamFailed, result.UpstreamRefused:
		return "The instance failed the request." + lastAttempt(s) + instanceState(related),
			"The other requests of the instance, and its health."
	case result.PromptQuarantined:
		return "Requests with a part of its prompt crashed several instances." + lastAttempt(s) + instanceState(related),
			"`prompt part quarantined` names the part, `instance crashed` what else was there at each crash."
	case result.DeadlineExceeded, result.DeadlineTooShort:
		return "The deadline passed before the response was complete." + lastAttempt(s),
			"The `load` of the attempts: a fleet that is too small, or an instance that hangs."
	}
	return fmt.Sprintf("Result %d, %s: %s.", s.code, s.code.Title(), s.finished.Fields["outcome"]), "docs/errors.md"
}

func successCause(s scope) string {
	text := fmt.Sprintf("It was answered with status %s after %s.", s.finished.Fields["status"], durationOf(s.finished))
	if len(s.attempts) > 0 {
		text += fmt.Sprintf(" %d earlier attempts failed.", len(s.attempts)) + lastAttempt(s)
	}
	return text
}

// quotaCause returns the cause of a refusal for quota: the account was over its
// quota, no coordinator could share the quota among the daemons, or a new
// coordinator had started the account with half of its burst.
func quotaCause(s scope, related []Line) (text, nextStep string) {
	account := s.finished.Fields["account"]
	if lost := lostDependency(s, related, "coordinator"); lost != "" {
		return fmt.Sprintf("Account %s was refused while its quota could not be shared among the daemons.", account) + lost,
			"`duty acquired` and `duty lost` on the other daemons."
	}
	for _, line := range related {
		if since := s.from.Sub(line.Time); line.Message == "duty acquired" && since > 0 && since < burstRefillTime {
			return fmt.Sprintf("Account %s was refused just after %s became the coordinator, which starts each account with half of its burst.",
				account, line.Source), "The previous coordinator: `duty lost` with its cause."
		}
	}
	decision := "the coordinator was asked"
	if durationOf(s.finished) < minCoordinatorCallTime {
		decision = "no credit was left at the daemon"
	}
	return fmt.Sprintf("Account %s was over its quota (%s).", account, decision),
		"Its requests with ran=true over some seconds on all daemons; raise the quota or contact the owner of the account."
}

// lostDependency describes the last loss of a dependency that was not regained
// before the request. It returns "" if there is none.
func lostDependency(s scope, related []Line, name string) string {
	text := ""
	for _, line := range related {
		if line.Fields["dependency"] != name {
			continue
		}
		switch {
		case line.Message == "dependency lost":
			reason := line.Fields["reason"] + line.Fields["error"]
			text = fmt.Sprintf(" The %s was lost at %s: %s.", name, line.Time.Format("15:04:05.000"), reason)
		case line.Time.Before(s.from):
			text = ""
		}
	}
	return text
}

// lastAttempt describes the last failed attempt. It returns "" if there is none.
func lastAttempt(s scope) string {
	if len(s.attempts) == 0 {
		return ""
	}
	last := s.attempts[len(s.attempts)-1].Fields
	return fmt.Sprintf(" The attempt at instance %s ended as %s: %s.", last["instance"], last["end"], last["reason"])
}

// instanceState describes the first related line that says that an instance was
// gone, displaced or unhealthy, or had crashed. It returns "" if there is none.
func instanceState(related []Line) string {
	for _, line := range related {
		switch line.Message {
		case "instance gone", "instance displaced":
			return fmt.Sprintf(" At %s: %s.", line.Time.Format("15:04:05.000"), line.Message)
		case "instance crashed":
			return fmt.Sprintf(" It crashed at %s while it ran %s requests of the daemon, with the parts %s.",
				line.Time.Format("15:04:05.000"), line.Fields["requests"], line.Fields["parts"])
		case "instance health changed":
			if reason := line.Fields["reason"]; reason != "none" {
				return fmt.Sprintf(" Its health fell at %s (%s).", line.Time.Format("15:04:05.000"), reason)
			}
		}
	}
	return ""
}
