#pragma once

#include "bundle/signing.h"
#include "control/control_plane.h"
#include "runtime/clock.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dragonflymill::test {

/// A control plane with real sockets on 127.0.0.1 that stores its last snapshot.
class plane_fixture
{
public:
    static constexpr const char* key = "0123456789abcdef";

    explicit plane_fixture(std::size_t number, std::vector<std::string> seeds = {},
                           void (*adjust)(control::control_plane_options&) = nullptr)
    {
        control::control_plane_options options;
        auto& membership = options.core.membership;
        membership.self.id = process_id("p" + std::to_string(number));
        membership.self.region = region_id("north");
        membership.self.domain = failure_domain_id("d" + std::to_string(number % 3));
        membership.self.host = host_id("h" + std::to_string(number));
        membership.start = incarnation(1'000 + number);
        membership.seeds = std::move(seeds);
        membership.probe_interval = 200ms;
        membership.probe_timeout = 80ms;
        options.core.bundle.trusted = test_partners();
        options.core.bundle.boot.patience = 500ms;
        options.core.bundle.boot.first_start_patience = 1s;
        options.core.seal_keys = {key};
        options.tick = 20ms;
        if (adjust != nullptr) {
            adjust(options);
        }
        control::control_plane_handlers handlers;
        handlers.on_snapshot = [this](std::shared_ptr<const control::control_snapshot> snapshot) {
            const std::lock_guard lock(mutex_);
            snapshot_ = std::move(snapshot);
        };
        auto opened = control::control_plane::open(std::move(options), std::move(handlers));
        cr_assert(opened.has_value());
        plane = std::move(opened).value();
        plane->start();
    }

    /// The last snapshot; null before the first.
    [[nodiscard]] auto snapshot() const -> std::shared_ptr<const control::control_snapshot>
    {
        const std::lock_guard lock(mutex_);
        return snapshot_;
    }
    /// Version in force; 0 if none.
    [[nodiscard]] auto version() const -> std::uint64_t
    {
        const auto seen = snapshot();
        return seen == nullptr || !seen->word ? 0 : seen->word->version.value();
    }

    std::unique_ptr<control::control_plane> plane;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const control::control_snapshot> snapshot_;
};

/// Waits until `condition()` is true; returns false after a generous timeout.
template <typename Condition>
[[nodiscard]] auto eventually(Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

/// A signed bundle, as pushed by an operator.
inline auto pushed(const bundle& value) -> control::pushed_bundle
{
    return {encode_signed_manifest(test_signed(value)), section_texts(value)};
}

} // namespace dragonflymill::test
