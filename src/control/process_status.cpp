#include "control/process_status.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace dragonflymill {

namespace {

namespace json = boost::json;

auto to_object(const upstream_status& upstream) -> json::object
{
    json::object object;
    object["id"] = upstream.id.text();
    object["state"] = upstream.state;
    object["outstanding"] = upstream.outstanding;
    object["allowed"] = upstream.allowed;
    return object;
}

auto text_of(const json::object& object, std::string_view key) -> std::string
{
    return std::string(object.at(key).as_string());
}

auto upstream_of(const json::value& value) -> upstream_status
{
    const json::object& object = value.as_object();
    return {upstream_id(text_of(object, "id")), text_of(object, "state"),
            json::value_to<std::int64_t>(object.at("outstanding")),
            json::value_to<std::int64_t>(object.at("allowed"))};
}

auto status_of(const json::object& object) -> process_status
{
    process_status status;
    status.process = process_id(text_of(object, "process"));
    status.role = text_of(object, "role");
    status.version = text_of(object, "version");
    status.ready = object.at("ready").as_bool();
    status.reason = text_of(object, "reason");
    status.bundle = json::value_to<std::uint64_t>(object.at("bundle"));
    status.bundle_digest = text_of(object, "bundle_digest");
    status.last_rejection = text_of(object, "last_rejection");
    status.in_flight = json::value_to<std::uint64_t>(object.at("in_flight"));
    for (const json::value& upstream : object.at("upstreams").as_array()) {
        status.upstreams.push_back(upstream_of(upstream));
    }
    return status;
}

} // namespace

auto to_json(const process_status& status) -> std::string
{
    json::object object;
    object["process"] = status.process.text();
    object["role"] = status.role;
    object["version"] = status.version;
    object["ready"] = status.ready;
    object["reason"] = status.reason;
    object["bundle"] = status.bundle;
    object["bundle_digest"] = status.bundle_digest;
    object["last_rejection"] = status.last_rejection;
    object["in_flight"] = status.in_flight;
    json::array upstreams;
    for (const upstream_status& upstream : status.upstreams) {
        upstreams.push_back(to_object(upstream));
    }
    object["upstreams"] = std::move(upstreams);
    return json::serialize(object) + "\n";
}

auto parse_process_status(std::string_view text) -> result<process_status>
{
    try {
        return status_of(json::parse({text.data(), text.size()}).as_object());
    }
    catch (const std::exception&) {
        return error(error_kind::corrupt, "the answer is not a process's status",
                     "check that the address is the process's [listen] admin");
    }
}

auto to_text(const process_status& status) -> std::string
{
    std::string text =
        status.process.text() + " (" + status.role + ", " + status.version +
        "): " + (status.ready ? "ready" : "not ready: " + status.reason) + ", bundle " +
        (status.bundle == 0 ? "none"
                            : std::to_string(status.bundle) + " " + status.bundle_digest.substr(0, 12)) +
        ", " + std::to_string(status.in_flight) + " requests in flight\n";
    if (!status.last_rejection.empty()) {
        text += "  last rejected bundle: " + status.last_rejection + '\n';
    }
    for (const upstream_status& upstream : status.upstreams) {
        text += "  " + upstream.id.text() + ": " + upstream.state + ", " +
                std::to_string(upstream.outstanding) + " of " + std::to_string(upstream.allowed) + '\n';
    }
    return text;
}

} // namespace dragonflymill
