#include "gateway/completion_request.h"

#include <boost/json/basic_parser_impl.hpp>
#include <string_view>

namespace dragonflymill::gateway {

namespace json = boost::json;

namespace {

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t max_short_text = 1'024;
constexpr std::int64_t max_answer_tokens = 1'000'000;
constexpr std::int64_t max_timeout_ms = 24LL * 60 * 60 * 1'000;

/// Boost.JSON SAX handler that reads the fields of the outermost object.
class field_reader
{
public:
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = 1'024;
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    auto on_document_begin(json::error_code& /*failure*/) -> bool { return true; }
    auto on_document_end(json::error_code& /*failure*/) -> bool { return true; }
    auto on_object_begin(json::error_code& /*failure*/) -> bool { return begin(true); }
    auto on_object_end(std::size_t /*n*/, json::error_code& /*failure*/) -> bool { return end(); }
    auto on_array_begin(json::error_code& /*failure*/) -> bool { return begin(false); }
    auto on_array_end(std::size_t /*n*/, json::error_code& /*failure*/) -> bool { return end(); }

    auto on_key_part(json::string_view part, std::size_t /*n*/, json::error_code& /*failure*/) -> bool
    {
        if (depth_ == 1) {
            partial_key_.append(part.data(), part.size());
        }
        return true;
    }
    auto on_key(json::string_view part, std::size_t n, json::error_code& failure) -> bool
    {
        on_key_part(part, n, failure);
        if (depth_ == 1) {
            key_ = std::move(partial_key_);
            partial_key_.clear();
        }
        return true;
    }
    auto on_string_part(json::string_view part, std::size_t /*n*/, json::error_code& /*failure*/) -> bool
    {
        if (depth_ == 1) {
            add_text(std::string_view(part.data(), part.size()));
        }
        return true;
    }
    auto on_string(json::string_view part, std::size_t n, json::error_code& failure) -> bool
    {
        on_string_part(part, n, failure);
        if (depth_ == 1) {
            finish_text();
        }
        return true;
    }
    auto on_number_part(json::string_view /*part*/, json::error_code& /*failure*/) -> bool { return true; }
    auto on_int64(std::int64_t value, json::string_view /*text*/, json::error_code& /*failure*/) -> bool
    {
        return set_number(value);
    }
    auto on_uint64(std::uint64_t /*value*/, json::string_view /*text*/, json::error_code& /*failure*/) -> bool
    {
        // Above the limits of both numeric fields, so either one is rejected.
        return set_number(max_answer_tokens + max_timeout_ms);
    }
    auto on_double(double /*value*/, json::string_view /*text*/, json::error_code& /*failure*/) -> bool
    {
        return reject_type("a number");
    }
    auto on_bool(bool value, json::error_code& /*failure*/) -> bool
    {
        if (depth_ == 1 && key_ == "stream") {
            request.stream = value;
            return true;
        }
        return reject_type("true or false");
    }
    auto on_null(json::error_code& /*failure*/) -> bool { return true; }
    auto on_comment_part(json::string_view /*part*/, json::error_code& /*failure*/) -> bool { return true; }
    auto on_comment(json::string_view /*part*/, json::error_code& /*failure*/) -> bool { return true; }

    completion_request request;
    std::string errors;
    bool is_object = false;
    bool has_prompt = false;

private:
    auto begin(bool object) -> bool
    {
        if (depth_ == 0) {
            is_object = object;
        }
        else if (depth_ == 1) {
            reject_type("a list or an object");
        }
        ++depth_;
        return true;
    }

    auto end() -> bool
    {
        --depth_;
        return true;
    }

    void add_text(std::string_view part)
    {
        if (key_ == "prompt") {
            request.prompt.append(part);
        }
        else if (short_text_.size() < max_short_text) {
            short_text_.append(part);
        }
    }

    void finish_text()
    {
        const auto text = std::move(short_text_);
        short_text_.clear();
        if (key_ == "prompt") {
            has_prompt = true;
        }
        else if (key_ == "model") {
            request.model = text;
        }
        else if (key_ == "adapter") {
            request.adapter = text;
        }
        else if (key_ == "priority") {
            set_priority(text);
        }
        else if (key_ == "max_tokens" || key_ == "timeout_ms" || key_ == "stream") {
            reject_type("text");
        }
    }

    void set_priority(std::string_view text)
    {
        if (text == "doorstep") {
            request.request_priority = priority::doorstep;
        }
        else if (text == "standard") {
            request.request_priority = priority::standard;
        }
        else if (text == "overnight") {
            request.request_priority = priority::overnight;
        }
        else {
            errors += "priority must be \"doorstep\", \"standard\" or \"overnight\"; ";
        }
    }

    auto set_number(std::int64_t value) -> bool
    {
        if (depth_ != 1) {
            return true;
        }
        if (key_ == "max_tokens") {
            if (value < 1 || value > max_answer_tokens) {
                errors += "max_tokens must be from 1 to " + std::to_string(max_answer_tokens) + "; ";
            }
            request.max_tokens = value;
            return true;
        }
        if (key_ == "timeout_ms") {
            if (value < 1 || value > max_timeout_ms) {
                errors += "timeout_ms must be from 1 to " + std::to_string(max_timeout_ms) + "; ";
            }
            request.time_limit = std::chrono::milliseconds(value);
            return true;
        }
        return reject_type("a number");
    }

    auto reject_type(const char* type) -> bool
    {
        const bool is_known = key_ == "model" || key_ == "prompt" || key_ == "adapter" ||
                              key_ == "priority" || key_ == "max_tokens" || key_ == "timeout_ms" ||
                              key_ == "stream";
        if (depth_ == 1 && is_known) {
            errors += key_ + " must not be " + type + "; ";
        }
        return true;
    }

    std::string key_;
    std::string partial_key_;
    std::string short_text_;
    std::size_t depth_ = 0;
};

auto invalid(std::string message) -> error
{
    return {error_kind::invalid_input, std::move(message),
            "send {\"model\": text, \"prompt\": text, \"max_tokens\": number, \"stream\": true or false}"};
}

} // namespace

auto read_completion_request(const std::string& body) -> result<completion_request>
{
    json::basic_parser<field_reader> parser(json::parse_options{});
    json::error_code failure;
    const auto parsed_bytes = parser.write_some(false, body.data(), body.size(), failure);
    if (failure) {
        return invalid("the body is not JSON: " + failure.message() + " at byte " +
                       std::to_string(parsed_bytes));
    }
    if (body.find_first_not_of(" \t\r\n", parsed_bytes) != std::string::npos) {
        return invalid("the body goes on behind its JSON value");
    }
    auto& reader = parser.handler();
    if (!reader.is_object) {
        return invalid("the body is not a JSON object");
    }
    if (reader.request.model.empty()) {
        reader.errors += "model is missing; ";
    }
    if (!reader.has_prompt || reader.request.prompt.empty()) {
        reader.errors += "prompt is missing; ";
    }
    if (!reader.errors.empty()) {
        reader.errors.resize(reader.errors.size() - 2);
        return invalid(std::move(reader.errors));
    }
    return std::move(reader.request);
}

auto estimate_tokens(std::size_t prompt_bytes) -> token_count
{
    return static_cast<token_count>((prompt_bytes + bytes_per_token - 1) / bytes_per_token);
}

auto span_text(const std::string& prompt, token_count begin, token_count end) -> std::string
{
    const auto byte_offset_of = [&prompt](token_count token) {
        auto offset = std::min(prompt.size(), static_cast<std::size_t>(token) * bytes_per_token);
        constexpr unsigned char lead_mask = 0xC0;
        constexpr unsigned char continuation = 0x80;
        while (offset < prompt.size() &&
               (static_cast<unsigned char>(prompt[offset]) & lead_mask) == continuation) {
            ++offset;
        }
        return offset;
    };
    const auto from = byte_offset_of(begin);
    return prompt.substr(from, byte_offset_of(end) - from);
}

} // namespace dragonflymill::gateway
