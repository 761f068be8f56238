// JSON encoding of intents, plans and changes, for operators and for the platform's key-value store.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// An operator's confirmation of a plan.
struct Confirmation
{
    Intent intent_;
    std::uint64_t baseVersion_ = 0;
    std::string digest_;
    std::string who_;
    std::string why_;
};

/// Parses an intent: `{"op": "domain-out", "name": "east"}`.
/// @return BadIntent with the field at fault
Result<Intent> parseIntent(std::string_view text);

/// Formats an intent.
std::string formatIntent(const Intent &intent);

/// Formats a plan.
std::string formatPlan(const Plan &plan);

/// Parses a confirmation: `{"intent": {...}, "base_version": 1, "digest": "...", "who": "...", "why": "..."}`.
/// @return BadIntent with the field at fault
Result<Confirmation> parseConfirmation(std::string_view text);

/// Formats a confirmation.
std::string formatConfirmation(const Confirmation &confirmation);

/// Parses a change as stored in the platform's key-value store.
/// @return Corrupt with the field at fault, or BadIntent for a malformed intent
Result<Change> parseChange(std::string_view text);

/// Formats a change as stored in the platform's key-value store.
std::string formatChange(const Change &change);

} // namespace ibiswall
