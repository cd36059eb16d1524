#pragma once

#include "net.h"
#include "replica.h"

namespace standin {

/// A client on a slow link: on one kept connection it first gets a short answer, then a long one, of which it
/// reads `rate` bytes a second as they arrive. Exits with 0 if both answers are complete, with 1 if the
/// connection ends before, with 2 if no answer begins.
class slow_client
{
public:
    auto run(const options& given) -> int
    {
        const auto bytes = static_cast<std::size_t>(given.number("bytes"));
        const auto rate = given.number("rate");
        const std::string host = given.text("host");
        const std::string path = given.text("path");
        const std::string name = given.text("name", "1");
        connection to;
        const auto small_windows = [](int fd) {
            // As of a client behind a slow Ethernet link.
            const int segment = 1460;
            const int window = 16'384;
            ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        };
        if (!to.connect(given.text("to"), small_windows)) {
            note("client: no connection");
            return 2;
        }
        note("client: short-" + name + " sent");
        if (!to.send(request("GET", path, host, "short-" + name, given)) ||
            !is_complete(read_message(to), "short-" + name, 800)) {
            note("client: no short answer");
            return 2;
        }
        note("client: short-" + name + " answered");
        const std::string id = "long-" + name;
        const auto began = now_ms();
        if (!to.send(request("GET", path + "?bytes=" + std::to_string(bytes), host, id, given))) {
            return 2;
        }
        note("client: " + id + " sent, Request-Deadline " + given.text("deadline"));
        return download(to, id, bytes, rate, began);
    }

private:
    static auto request(const std::string& method, const std::string& path, const std::string& host,
                        const std::string& id, const options& given) -> std::string
    {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDragonflymill-Attempt-Id: " + id +
               "\r\nDragonflymill-Request-Deadline: " + given.text("deadline") +
               "\r\nAuthorization: Bearer " + given.text("key") + "\r\n\r\n";
    }
    static auto is_complete(const std::optional<message>& answer, const std::string& id, std::size_t bytes)
        -> bool
    {
        return answer && answer->word(1) == "200" && answer->field("dragonflymill-attempt-id") == id &&
               !answer->field("dragonflymill-server-seal").empty() && answer->body == body_for(id, bytes);
    }
    /// Moves what has arrived of a body out of `in`; true at its end.
    static auto take_body(std::string& in, bool chunked, std::size_t bytes, std::string& body) -> bool
    {
        if (!chunked) {
            body += std::exchange(in, "");
            return body.size() >= bytes;
        }
        for (;;) {
            const auto line = in.find("\r\n");
            if (line == std::string::npos) {
                return false;
            }
            const std::size_t size = std::stoul(in.substr(0, line), nullptr, 16);
            if (in.size() < line + size + 4) {
                return false;
            }
            body.append(in, line + 2, size);
            in.erase(0, line + size + 4);
            if (size == 0) {
                return true;
            }
        }
    }
    static auto download(connection& from, const std::string& id, std::size_t bytes, long rate,
                         std::int64_t began) -> int
    {
        const std::size_t slice = static_cast<std::size_t>(rate) / 50;
        const auto head = read_head(from, 10s, slice);
        if (!head || head->word(1) != "200") {
            note("client: no answer begins: " + (head ? head->first : "closed"));
            return 2;
        }
        note("client: " + id + " begins: " + head->first + ", Content-Length " +
             head->field("content-length") + ", Connection " + head->field("connection"));
        const bool chunked = lower(head->field("transfer-encoding")) == "chunked";
        std::string body;
        bool ended = false;
        std::size_t received = from.buffer().size();
        int got = 1;
        while (!ended && got > 0) {
            ended = take_body(from.buffer(), chunked, bytes, body);
            if (!ended) {
                std::this_thread::sleep_for(20ms);
                got = from.fill(5s, slice);
                received += static_cast<std::size_t>(std::max(got, 0));
            }
        }
        const bool whole = ended && body == body_for(id, bytes);
        note("client: " + id + (whole ? " complete" : " ENDS EARLY") + " after " +
             std::to_string(now_ms() - began) + " ms: " + std::to_string(received) +
             " bytes received of a body of " + std::to_string(bytes) +
             (ended      ? ""
              : got == 0 ? ", closed"
                         : ", reset or silent"));
        return whole ? 0 : 1;
    }
};

/// Clients that keep their connections: each gets a short answer, rests for `rest` ms, and then sends a body
/// of `bytes` on the same connection. Exits with the number of those whose second request was refused with a
/// 4xx that no replica gave; 100 if one had no answer.
class resting_clients
{
public:
    auto run(const options& given) -> int
    {
        std::vector<std::thread> all;
        std::atomic<int> refused = 0;
        std::atomic<int> failed = 0;
        for (long i = 0; i < given.number("count"); ++i) {
            all.emplace_back([&, i] {
                const int status = one(given, std::to_string(i + 1));
                refused += status >= 400 && status < 500 ? 1 : 0;
                failed += status == 0 ? 1 : 0;
            });
        }
        for (std::thread& each : all) {
            each.join();
        }
        return failed > 0 ? 100 : refused.load();
    }

private:
    static auto one(const options& given, const std::string& name) -> int
    {
        const std::string common = " HTTP/1.1\r\nHost: " + given.text("host") +
                                   "\r\nDragonflymill-Request-Deadline: " + given.text("deadline") +
                                   "\r\nAuthorization: Bearer " + given.text("key") + "\r\n";
        connection to;
        if (!to.connect(given.text("to"))) {
            return 0;
        }
        const std::string first = "rest-" + name + "-a";
        const std::string second = "rest-" + name + "-b";
        if (!to.send("GET " + given.text("path") + common + "Dragonflymill-Attempt-Id: " + first +
                     "\r\n\r\n")) {
            return 0;
        }
        note("client: " + first + " sent");
        const auto before = read_message(to, 5s);
        if (!before || before->word(1) != "200") {
            note("client: " + first + " had no answer to begin with");
            return 0;
        }
        note("client: " + first + " is answered: " + before->first);
        std::this_thread::sleep_for(std::chrono::milliseconds(given.number("rest")));
        const std::string body(static_cast<std::size_t>(given.number("bytes")), 'b');
        note("client: " + second + " sends a body of " + std::to_string(body.size()));
        (void)to.send("POST " + given.text("path") + common + "Dragonflymill-Attempt-Id: " + second +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        (void)to.send(body);
        const auto after = read_message(to, 10s);
        note("client: " + second + " is answered: " + (after ? after->first : "no answer") +
             (after && !after->field("dragonflymill-server-seal").empty() ? ", by a replica"
                                                                          : ", by the gateway"));
        return after ? std::stoi(after->word(1)) : 0;
    }
};

/// Clients that together send `rate` requests a second for `seconds` s, each on a connection of its own, to
/// the gateways in `to` (separated by commas) in turn. Notes how many were answered with which status.
class steady_clients
{
public:
    auto run(const options& given) -> int
    {
        std::vector<std::string> gateways;
        std::istringstream list(given.text("to"));
        for (std::string one; std::getline(list, one, ',');) {
            gateways.push_back(one);
        }
        const long rate = given.number("rate");
        const long count = rate * given.number("seconds");
        const auto began = steady::now();
        std::vector<std::thread> all;
        for (long i = 0; i < count; ++i) {
            std::this_thread::sleep_until(began + std::chrono::microseconds(1'000'000 * i / rate));
            all.emplace_back(
                [&, i] { one(given, gateways[static_cast<std::size_t>(i) % gateways.size()], i); });
        }
        for (std::thread& each : all) {
            each.join();
        }
        std::string text = "client: " + std::to_string(count) + " requests were answered:";
        for (const auto& [status, times] : answers_) {
            text += " " + status + " " + std::to_string(times) + " times";
        }
        note(text);
        return 0;
    }

private:
    void one(const options& given, const std::string& gateway, long number)
    {
        connection to;
        std::string status = "none";
        note("client: s" + std::to_string(number) + " sent to " + gateway);
        if (to.connect(gateway) &&
            to.send("GET " + given.text("path") + " HTTP/1.1\r\nHost: " + given.text("host") +
                    "\r\nDragonflymill-Attempt-Id: s" + std::to_string(number) +
                    "\r\nDragonflymill-Request-Deadline: " + given.text("deadline") +
                    "\r\nAuthorization: Bearer " + given.text("key") + "\r\n\r\n")) {
            const auto answer = read_message(to, 10s);
            status = answer ? answer->word(1) : "none";
        }
        note("client: s" + std::to_string(number) + " is answered: " + status);
        const std::lock_guard<std::mutex> lock(mutex_);
        ++answers_[status];
    }

    std::mutex mutex_;
    std::map<std::string, int> answers_;
};

} // namespace standin
