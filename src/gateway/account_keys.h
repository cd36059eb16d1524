#pragma once

#include "dragonflymill/bundle/bundle.h"

#include <string>

namespace dragonflymill::gateway {

/// The account whose key hashes to the hash of `token`, or null. Every account is compared, each in constant
/// time, so that the time taken tells nothing about the hashes.
[[nodiscard]] auto find_account(const bundle& in_force, const std::string& token) -> const account_entry*;

} // namespace dragonflymill::gateway
