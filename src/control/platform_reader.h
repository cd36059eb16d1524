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

/// How a read of the platform ended.
enum class read_end
{
    value,       ///< There is a value.
    none,        ///< There is none, or none newer.
    over_budget, ///< The platform refused: too many reads.
    failed,      ///< No usable answer.
};

/// A value of the configuration service.
struct config_value
{
    read_end end = read_end::failed; ///< How the read ended.
    std::uint64_t revision = 0;      ///< Its revision.
    std::string value;               ///< Its bytes.
};

/// The host list, or how its read ended.
struct host_list_value
{
    read_end end = read_end::failed; ///< How the read ended.
    std::vector<listed_host> hosts;  ///< The hosts.
};

/// Key of the signed manifest at the configuration service.
inline constexpr const char* manifest_key = "bundle.manifest";

/// Key of a section at the configuration service.
[[nodiscard]] auto section_key(const sha256_digest& digest) -> std::string;

/// Reads the configuration service and the host list (docs/upstreams.md); each read is a call of its own on
/// one context.
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
    /// Waits up to `wait` for a revision above `after`.
    void watch(const boost::asio::ip::tcp::endpoint& service, const std::string& key, std::uint64_t after,
               duration wait, std::function<void(config_value)> done);
    /// Reads the host list.
    void read_hosts(const boost::asio::ip::tcp::endpoint& list, std::function<void(host_list_value)> done);

private:
    void get(const boost::asio::ip::tcp::endpoint& server, std::string target, duration wait,
             std::function<void(unsigned status, std::string body)> done);

    boost::asio::io_context& context_;
};

/// Reads the configuration service's answer.
[[nodiscard]] auto parse_config_value(unsigned status, const std::string& body) -> config_value;
/// Reads the host list's answer.
[[nodiscard]] auto parse_host_list(unsigned status, const std::string& body) -> host_list_value;

} // namespace dragonflymill::control
