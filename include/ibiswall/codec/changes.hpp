// The JSON of intents, plans and changes, for operators and for the platform's store.

#pragma once

#include <ibiswall/core.hpp>

namespace ibiswall {

/// What an operator sends to confirm a plan.
struct Confirmation
{
    Intent intent_;
    std::uint64_t baseVersion_ = 0;
    std::string digest_;
    std::string who_;
    std::string why_;
};

/// Reads an intent: `{"op": "domain-out", "name": "east"}`.
Result<Intent> parseIntent(std::string_view text);

/// Writes an intent.
std::string formatIntent(const Intent &intent);

/// Writes a plan.
std::string formatPlan(const Plan &plan);

/// Reads a confirmation: `{"intent": {...}, "base_version": 1, "digest": "...", "who": "...", "why": "..."}`.
Result<Confirmation> parseConfirmation(std::string_view text);

/// Writes a confirmation.
std::string formatConfirmation(const Confirmation &confirmation);

/// Reads a change as kept in the platform's store.
Result<Change> parseChange(std::string_view text);

/// Writes a change as kept in the platform's store.
std::string formatChange(const Change &change);

} // namespace ibiswall
