#include "control/platform_reader.h"

#include "runtime/base64.h"

#include "http/http_call.h"
#include "runtime/clock.h"

#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace dragonflymill::control {

namespace {

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr std::size_t max_response_bytes = 2 * 1024 * 1024;
constexpr std::size_t max_hosts = 4'096;
constexpr duration response_timeout = 2s;

auto to_read_end(unsigned status) -> read_end
{
    switch (status) {
    case status_ok:
        return read_end::value;
    case status_no_content:
    case status_not_found:
        return read_end::none;
    case status_too_many:
        return read_end::over_budget;
    default:
        return read_end::failed;
    }
}

auto text_of(const json::object& object, std::string_view key) -> std::string
{
    const auto* value = object.if_contains(key);
    const auto* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(text->begin(), text->end());
}

auto parse_object(const std::string& body, json::value& root) -> const json::object*
{
    boost::system::error_code failure;
    root = json::parse(body, failure);
    return failure ? nullptr : root.if_object();
}

} // namespace

auto section_key(const sha256_digest& digest) -> std::string
{
    return "bundle.section." + digest.hex();
}

auto parse_config_value(unsigned status, const std::string& body) -> config_value
{
    config_value read;
    read.end = to_read_end(status);
    if (read.end != read_end::value) {
        return read;
    }
    json::value root;
    const auto* object = parse_object(body, root);
    const auto* revision = object == nullptr ? nullptr : object->if_contains("revision");
    if (revision == nullptr || !revision->is_number()) {
        return {};
    }
    boost::system::error_code failure;
    read.revision = revision->to_number<std::uint64_t>(failure);
    read.value = runtime::decode_base64(text_of(*object, "value")).value_or("");
    return failure ? config_value{} : read;
}

auto parse_host_list(unsigned status, const std::string& body) -> host_list_value
{
    host_list_value read;
    read.end = to_read_end(status);
    if (read.end != read_end::value) {
        return read;
    }
    json::value root;
    const auto* object = parse_object(body, root);
    const auto* hosts = object == nullptr ? nullptr : object->if_contains("hosts");
    const auto* list = hosts == nullptr ? nullptr : hosts->if_array();
    if (list == nullptr || list->size() > max_hosts) {
        return {};
    }
    for (const auto& item : *list) {
        const auto* host = item.if_object();
        if (host != nullptr && !text_of(*host, "host").empty()) {
            read.hosts.push_back({host_id(text_of(*host, "host")), text_of(*host, "state") == "leaving",
                                  text_of(*host, "address")});
        }
    }
    return read;
}

void platform_reader::read(const boost::asio::ip::tcp::endpoint& service, const std::string& key,
                           std::function<void(config_value)> done)
{
    get(service, "/v1/keys/" + key, response_timeout,
        [done = std::move(done)](unsigned status, const std::string& body) {
            done(parse_config_value(status, body));
        });
}

void platform_reader::watch(const boost::asio::ip::tcp::endpoint& service, const std::string& key,
                            std::uint64_t after, duration wait, std::function<void(config_value)> done)
{
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    get(service,
        "/v1/watch?key=" + key + "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms),
        wait + response_timeout, [done = std::move(done)](unsigned status, const std::string& body) {
            done(parse_config_value(status, body));
        });
}

void platform_reader::read_hosts(const boost::asio::ip::tcp::endpoint& list,
                                 std::function<void(host_list_value)> done)
{
    get(list, "/v1/hosts", response_timeout,
        [done = std::move(done)](unsigned status, const std::string& body) {
            done(parse_host_list(status, body));
        });
}

void platform_reader::get(const boost::asio::ip::tcp::endpoint& server, std::string target, duration wait,
                          std::function<void(unsigned status, std::string body)> done)
{
    struct response
    {
        unsigned status = 0;
        std::string body;
    };
    http::call_limits limits;
    limits.first_byte_timeout = wait;
    limits.total_timeout = wait + response_timeout;
    limits.max_body_bytes = max_response_bytes;
    const auto received = std::make_shared<response>();
    http::call_handlers handlers;
    handlers.on_header = [received](unsigned status, const std::string& /*content_type*/) {
        received->status = status;
    };
    handlers.on_bytes = [received](std::string_view bytes) { received->body += bytes; };
    handlers.on_end = [received, done = std::move(done)](http::call_end end) {
        done(end == http::call_end::whole ? received->status : 0, std::move(received->body));
    };
    const auto call = std::make_shared<http::http_call>(context_, server, limits);
    call->start({"GET", std::move(target), {}, {}}, runtime::now() + response_timeout, std::move(handlers));
}

} // namespace dragonflymill::control
