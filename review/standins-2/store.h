#pragma once

#include "net.h"

namespace standin {

/// The platform's store, as far as the system reads it: kv-range in one page, kv-watch by revision, and a
/// private call by which the script plays the operator and the replicas (`POST /standin?key=KEY`, the value
/// as the body; `DELETE /standin?key=KEY`). Serves `staleOk` reads like others.
class store
{
public:
    void run(const options& given)
    {
        listen_on(given.text("at"), [this](connection& from) { serve(from); });
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    static auto query(const std::string& target, const std::string& name) -> std::string
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }

    static auto encoded(const std::string& key, const item& one) -> std::string
    {
        const std::string head = R"({"key":")" + key + R"(","revision":)" + std::to_string(one.revision);
        return one.deleted ? head + R"(,"deleted":true})"
                           : head + R"(,"createRev":)" + std::to_string(one.revision) +
                                 R"(,"lease":0,"value":")" + base64(one.value) + R"("})";
    }

    void change(const std::string& key, const std::string& value, bool deleted)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        items_[key] = {value, ++revision_, deleted};
        changed_.notify_all();
        note("store " + std::string(deleted ? "removed " : "acknowledged ") + key + " at revision " +
             std::to_string(revision_));
    }

    auto list() -> std::string
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string found;
        for (const auto& [key, one] : items_) {
            if (!one.deleted) {
                found += (found.empty() ? "" : ",") + encoded(key, one);
            }
        }
        return R"({"items":[)" + found + R"(],"morePages":false,"storeRevision":)" +
               std::to_string(revision_) + "}";
    }

    auto watch(std::uint64_t after, long wait_ms) -> std::string
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return revision_ > after; });
        std::map<std::uint64_t, std::string> by_revision;
        for (const auto& [key, one] : items_) {
            if (one.revision > after) {
                by_revision[one.revision] = encoded(key, one);
            }
        }
        std::string found;
        for (const auto& [revision, text] : by_revision) {
            found += (found.empty() ? "" : ",") + text;
        }
        return R"({"events":[)" + found + R"(],"storeRevision":)" + std::to_string(revision_) + "}";
    }

    void serve(connection& from)
    {
        while (const auto asked = read_message(from)) {
            const std::string target = asked->word(1);
            std::string body = "{}";
            if (target.starts_with("/standin?")) {
                change(query(target, "key"), asked->body, asked->word(0) == "DELETE");
            }
            else if (target.starts_with("/dragonflymill/kv-range?")) {
                body = list();
            }
            else if (target.starts_with("/dragonflymill/kv-watch?")) {
                body = watch(std::stoull("0" + query(target, "after")),
                             std::stol("0" + query(target, "waitMs")));
            }
            if (!from.send(response(200, "Content-Type: application/json\r\n", body)) ||
                lower(asked->field("connection")) == "close") {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 100;
};

} // namespace standin
