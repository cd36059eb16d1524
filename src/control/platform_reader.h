#pragma once

#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/drain/drain_state.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// Outcome of a read from the platform.
enum class read_end
{
    value,       ///< A value was read.
    none,        ///< There is no value, or no newer one.
    over_budget, ///< Rejected by the platform's rate limit.
    failed,      ///< No valid response.
};

/// A value of the configuration service.
struct config_value
{
    read_end end = read_end::failed; ///< Outcome of the read.
    std::uint64_t revision = 0;      ///< Revision of the value.
    std::string value;               ///< The decoded value.
};

/// The host list.
struct host_list_value
{
    read_end end = read_end::failed; ///< Outcome of the read.
    std::vector<listed_host> hosts;  ///< The hosts; empty unless `end` is `value`.
};

/// Key of the signed manifest at the configuration service.
inline constexpr const char* manifest_key = "bundle.manifest";

/// Key of a section at the configuration service.
[[nodiscard]] auto section_key(const sha256_digest& digest) -> std::string;

/// Reads the configuration service and the host list (docs/upstreams.md). Each read is a separate HTTP call;
/// callbacks run on one context.
class platform_reader
{
public:
    /// Reads on `context`.
    explicit platform_reader(boost::asio::io_context& context)
        : context_(context)
    {
    }

    /// Reads a key.
    void read(const boost::asio::ip::tcp::endpoint& service, const std::string& key,
              std::function<void(config_value)> done);
    /// Waits up to `wait` for a revision greater than `after`.
    void watch(const boost::asio::ip::tcp::endpoint& service, const std::string& key, std::uint64_t after,
               duration wait, std::function<void(config_value)> done);
    /// Reads the host list.
    void read_hosts(const boost::asio::ip::tcp::endpoint& list, std::function<void(host_list_value)> done);

private:
    void get(const boost::asio::ip::tcp::endpoint& server, std::string target, duration wait,
             std::function<void(unsigned status, std::string body)> done);

    boost::asio::io_context& context_;
};

/// Parses a response of the configuration service; malformed ones yield `read_end::failed`.
[[nodiscard]] auto parse_config_value(unsigned status, const std::string& body) -> config_value;
/// Parses a response of the host list; malformed ones yield `read_end::failed`.
[[nodiscard]] auto parse_host_list(unsigned status, const std::string& body) -> host_list_value;

} // namespace dragonflymill::control
