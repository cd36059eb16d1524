#pragma once

#include "dragonflymill/bundle/bundle.h"

#include <string>

namespace dragonflymill::gateway {

/// Returns the account whose key hash equals the SHA-256 hash of `token`, or null. Compares every account,
/// each in constant time, so that response times leak nothing about the hashes.
[[nodiscard]] auto find_account(const bundle& in_force, const std::string& token) -> const account_entry*;

} // namespace dragonflymill::gateway
