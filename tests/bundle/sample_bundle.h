#pragma once

#include <string>

namespace dragonflymill {

/// Source text of a small valid bundle.
inline auto sample_bundle_text(const std::string& version = "7") -> std::string
{
    return "[bundle]\nversion = " + version + R"(
term_end = 2030-12-31T00:00:00Z
# the two who sign
[partner cooperative]
public_key = 1111111111111111111111111111111111111111111111111111111111111111
[partner birchlog]
public_key = 2222222222222222222222222222222222222222222222222222222222222222
[failure_domain a]
region = north
[failure_domain b]
region = north
in_service = no
[model m]
adapters = shade, dossier
max_prompt = 1m
[upstream e1]
failure_domain = a
host = h1
sidecar = 127.0.0.1:7101
models = m
memory = 1m
max_outstanding = 64k
cold_outstanding = 8k
[upstream b1]
kind = service
failure_domain = b
host = h2
sidecar = 127.0.0.1:7102
max_outstanding = 16
cold_outstanding = 2
[route booking]
upstreams = b1
time_limit = 10s
remember_for = 10m
[account doorstep]
partner = birchlog
key_sha256 = 3333333333333333333333333333333333333333333333333333333333333333
requests = 30/m
tokens = 50k/s
max_in_flight = 100
priority = doorstep
)";
}

} // namespace dragonflymill
