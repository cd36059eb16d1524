#include "app/command_bundle_new.h"

#include "app/option_set.h"

namespace dragonflymill::app {

namespace {

constexpr const char* source_text =
    R"(# A bundle: everything that both partners sign and the whole fleet runs by.
[bundle]
# rises with every bundle
version = 1
# nothing is served after it
term_end = 2030-12-31T00:00:00Z

# The two who sign. `dragonflymill bundle key` prints the public key.
[partner cooperative]
[partner birchlog]

[failure_domain a]
region = north
# `no` takes it out of service
in_service = yes

[model assistant-1]
adapters = shade, dossier
max_prompt = 400k

[upstream engine-1]
kind = engine
failure_domain = a
host = host-1
sidecar = 127.0.0.1:7101
models = assistant-1
# KV cache and load in tokens: what it carries warm, and in cold start
memory = 400k
max_outstanding = 256k
cold_outstanding = 16k

[upstream booking-1]
kind = service
failure_domain = a
host = host-2
sidecar = 127.0.0.1:7201
# calls at the same time
max_outstanding = 16
cold_outstanding = 2

[route booking]
upstreams = booking-1
# a call may not be repeated
idempotent = no
time_limit = 10s
remember_for = 10m

[account doorstep]
partner = birchlog
# SHA-256 of the account's bearer token
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
requests = 50/s
tokens = 200k/s
max_in_flight = 100
weight = 1
priority = doorstep
)";

} // namespace

auto run_bundle_new(const arguments& words, command_io& io) -> exit_code
{
    option_set options("dragonflymill bundle new", "Prints the source text of a small bundle to start from.");
    options.example("dragonflymill bundle new > bundle.ini", "a file to edit, check and sign");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    io.out << source_text;
    return exit_code::success;
}

} // namespace dragonflymill::app
