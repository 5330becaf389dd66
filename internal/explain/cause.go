package explain

import (
	"fmt"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// askedWithin is the duration below which a refusal for quota was decided
// without asking another daemon: a call between data centres takes over 2 ms.
const askedWithin = 2 * time.Millisecond

// refillTime is how long after a change of the coordinator a refusal may be due
// to it: an account's burst is about a second of its rate.
const refillTime = 2 * time.Second

// cause names the cause that the lines show, and where to look next.
func cause(s scope, related []Line) (text, next string) {
	if s.finished.Message == "" {
		return "The daemon wrote no line about the end of the request: it was killed or lost power, or the line was dropped.",
			"Look for `daemon started` and `log lines dropped` after the last line."
	}
	switch s.code {
	case result.OK:
		return answeredCause(s), "A fleet that is too small shows in `instances ordered` lines."
	case result.AccountLimit:
		return quotaCause(s, related)
	case result.StoreUnavailable:
		return "The daemon had no proof that its configuration and account keys were current." + lostDependency(s, related, "store"),
			"The store, or the way of this daemon to it."
	case result.Draining:
		return "The daemon was stopping.", "A planned restart; clients go to other daemons."
	case result.NoUpstream:
		return fmt.Sprintf("No instance of %s could take the request.", s.finished.Fields["service"]) + lastAttempt(s),
			"`instances ordered` with an error, `instance gone`, and the share of a roll-out."
	case result.OrderOutcomeUnknown:
		return "The request was sent and may have run; it must not be repeated." + lastAttempt(s),
			"Ask the application for the request's ID before it is sent again."
	case result.UpstreamIncomplete, result.UpstreamFailed, result.UpstreamRefused:
		return "The instance failed the request." + lastAttempt(s) + instanceState(related),
			"The other requests of the instance, and its health."
	case result.DeadlineExceeded, result.DeadlineTooShort:
		return "The time was over before an answer was complete." + lastAttempt(s),
			"The `load` of the attempts: a fleet that is too small, or an instance that hangs."
	}
	return fmt.Sprintf("Result %d, %s: %s.", s.code, s.code.Title(), s.finished.Fields["outcome"]), "docs/errors.md"
}

func answeredCause(s scope) string {
	text := fmt.Sprintf("It was answered with status %s after %s.", s.finished.Fields["status"], durationOf(s.finished))
	if len(s.attempts) > 0 {
		text += fmt.Sprintf(" %d earlier attempts failed.", len(s.attempts)) + lastAttempt(s)
	}
	return text
}

// quotaCause tells whether the account was over its quota or the daemon could
// not learn what is left of it.
func quotaCause(s scope, related []Line) (text, next string) {
	account := s.finished.Fields["account"]
	if lost := lostDependency(s, related, "coordinator"); lost != "" {
		return fmt.Sprintf("Account %s was refused while its quota could not be shared among the daemons.", account) + lost,
			"`duty acquired` and `duty lost` on the other daemons."
	}
	for _, line := range related {
		if since := s.from.Sub(line.Time); line.Message == "duty acquired" && since > 0 && since < refillTime {
			return fmt.Sprintf("Account %s was refused just after %s became the coordinator, which starts each account with half of its burst.",
				account, line.Source), "The coordinator before: `duty lost` with its cause."
		}
	}
	asked := "the coordinator was asked"
	if durationOf(s.finished) < askedWithin {
		asked = "no credit was left at the daemon"
	}
	return fmt.Sprintf("Account %s was over its quota (%s).", account, asked),
		"Its requests with ran=true over some seconds on all daemons; raise the quota or speak to the account."
}

// lostDependency describes the last loss of a dependency that was not regained
// before the request, or "".
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

func lastAttempt(s scope) string {
	if len(s.attempts) == 0 {
		return ""
	}
	last := s.attempts[len(s.attempts)-1].Fields
	return fmt.Sprintf(" The attempt at instance %s ended as %s: %s.", last["instance"], last["end"], last["reason"])
}

// instanceState tells what else was logged about the instances.
func instanceState(related []Line) string {
	for _, line := range related {
		switch line.Message {
		case "instance gone", "instance displaced":
			return fmt.Sprintf(" At %s: %s.", line.Time.Format("15:04:05.000"), line.Message)
		case "instance health changed":
			if reason := line.Fields["reason"]; reason != "none" {
				return fmt.Sprintf(" Its health fell at %s (%s).", line.Time.Format("15:04:05.000"), reason)
			}
		}
	}
	return ""
}
