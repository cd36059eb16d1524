#include "http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace dragonflymill::http {

namespace {

auto bad_address(const std::string& text) -> error
{
    return {error_kind::invalid_input, "'" + text + "' is not an IP address with a port",
            "write 127.0.0.1:8080 or [::1]:8080"};
}

} // namespace

auto parse_address(const std::string& text) -> result<boost::asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return bad_address(text);
    }
    auto host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(first, last, port);
    if (failure != std::errc{} || end != last) {
        return bad_address(text);
    }
    boost::system::error_code bad_host;
    const auto address = boost::asio::ip::make_address(host, bad_host);
    if (bad_host) {
        return bad_address(text);
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

auto address_text(const boost::asio::ip::tcp::endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace dragonflymill::http
