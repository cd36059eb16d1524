#include "soak/store_standin.h"

#include "support/base64_text.h"

#include <algorithm>
#include <boost/json.hpp>

namespace dragonflymill::soak {

namespace json = boost::json;
using test_support::taken_connection;

namespace {

void reply(taken_connection& call, int status, const std::string& body)
{
    boost::system::error_code ignored; // the gateway may have been killed
    const std::string text = "HTTP/1.1 " + std::to_string(status) +
                             " S\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(call.socket, boost::asio::buffer(text), ignored);
}

auto query(const std::string& request, const std::string& name) -> std::uint64_t
{
    const auto at = request.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(request.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

store_standin::store_standin(boost::asio::io_context& loop)
    : loop_(loop)
    , server_(loop, [this](taken_connection& call) { answer(call); })
{
}

void store_standin::put(const std::string& key, const std::string& value)
{
    items_[key] = {value, ++revision_, false};
    changed();
}

void store_standin::remove(const std::string& key)
{
    items_[key] = {"", ++revision_, true};
    changed();
}

void store_standin::changed()
{
    auto waiting = std::exchange(watches_, {});
    for (watch& each : waiting) {
        each.end->cancel();
        answer_watch(each.connection, each.after);
    }
}

auto store_standin::changes(std::uint64_t after) const -> std::string
{
    json::array events;
    for (const auto& [key, item] : items_) {
        if (item.revision <= after) {
            continue;
        }
        json::object event{{"key", key}, {"revision", item.revision}};
        item.removed ? event["deleted"] = true : event["value"] = test_support::base64_text(item.value);
        events.push_back(std::move(event));
    }
    return events.empty() ? ""
                          : json::serialize(json::object{{"events", events}, {"storeRevision", revision_}});
}

void store_standin::answer(taken_connection& call)
{
    if (mood_ == mood::silent) {
        return;
    }
    if (mood_ == mood::busy) {
        reply(call, 503, "");
        return;
    }
    if (mood_ == mood::endless) {
        // The head shares a write with the first part of the body, so that no read ends between them.
        send_without_end(call.shared_from_this(), "HTTP/1.1 200 S\r\n\r\n{\"items\":[");
        return;
    }
    if (call.received.find("kv-watch") != std::string::npos) {
        answer_watch(call.shared_from_this(), query(call.received, "after"));
        return;
    }
    json::array items;
    for (const auto& [key, item] : items_) {
        if (!item.removed) {
            items.push_back(json::object{
                {"key", key}, {"value", test_support::base64_text(item.value)}, {"revision", item.revision}});
        }
    }
    reply(
        call, 200,
        json::serialize(json::object{{"items", items}, {"morePages", false}, {"storeRevision", revision_}}));
}

void store_standin::send_without_end(const std::shared_ptr<taken_connection>& call, const std::string& head)
{
    constexpr std::size_t part_bytes = 65'536;
    const auto part = std::make_shared<const std::string>(head + std::string(part_bytes, ' '));
    boost::asio::async_write(call->socket, boost::asio::buffer(*part),
                             [this, call, part](const auto& failed, std::size_t /*bytes*/) {
                                 if (!failed) {
                                     send_without_end(call, "");
                                 }
                             });
}

void store_standin::answer_watch(const std::shared_ptr<taken_connection>& call, std::uint64_t after)
{
    if (mood_ != mood::well || call->ended) {
        return;
    }
    if (after < history_from_) {
        reply(*call, 410, "");
        return;
    }
    const std::string events = changes(after);
    if (!events.empty()) {
        reply(*call, 200, events);
        return;
    }
    watch waiting{call, after, std::make_unique<boost::asio::steady_timer>(loop_)};
    waiting.end->expires_after(std::chrono::milliseconds(query(call->received, "waitMs")));
    waiting.end->async_wait([this, call](const boost::system::error_code& cancelled) {
        if (cancelled) {
            return;
        }
        std::erase_if(watches_, [&](const watch& each) { return each.connection == call; });
        reply(*call, 200,
              json::serialize(json::object{{"events", json::array()}, {"storeRevision", revision_}}));
    });
    watches_.push_back(std::move(waiting));
}

} // namespace dragonflymill::soak
