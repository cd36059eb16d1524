#pragma once

#include "net.h"

namespace standin {

/// The body of the answer to a request: `bytes` characters that follow from its id.
inline auto body_for(const std::string& id, std::size_t bytes) -> std::string
{
    std::string out;
    out.reserve(bytes + 64);
    for (std::size_t line = 0; out.size() < bytes; ++line) {
        out += id + " line " + std::to_string(line) + "\n";
    }
    out.resize(bytes);
    return out;
}

/// A sound replica of a plain service: runs each request at once and answers with the number of bytes that
/// the query asks for (`bytes=N`, 800 by default). Answers 421 to requests for another instance.
class replica
{
public:
    void run(const options& given)
    {
        id_ = given.text("id");
        listen_on(given.text("at"), [this](connection& from) { serve(from); });
    }

private:
    void serve(connection& from)
    {
        while (const auto asked = read_message(from)) {
            const std::string request = asked->field("dragonflymill-attempt-id");
            const std::string expected = asked->field("dragonflymill-expect-instance");
            const std::string echo = "Dragonflymill-Attempt-Id: " + request + "\r\n";
            if (asked->word(1) == "/health") {
                (void)from.send(response(200, "Dragonflymill-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            if (!expected.empty() && expected != id_) {
                (void)from.send(response(421, echo + "Dragonflymill-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            const std::string target = asked->word(1);
            const auto size = target.find("bytes=");
            const std::size_t bytes = size == std::string::npos ? 800 : std::stoul(target.substr(size + 6));
            note("replica " + id_ + " runs " + request + " " + asked->first + " deadline " +
                 asked->field("dragonflymill-request-deadline"));
            const std::string body = body_for(request, bytes);
            const bool sent = from.send(response(
                200, echo + "Dragonflymill-Server-Seal: " + id_ + "." + std::to_string(bytes) + "\r\n",
                body));
            note("replica " + id_ +
                 (sent ? " has sent the whole answer to " : " could not send the answer to ") + request +
                 ", " + std::to_string(bytes) + " bytes");
            if (!sent) {
                return;
            }
        }
    }

    std::string id_;
};

} // namespace standin
