#include "control/admin_endpoint.h"

#include "http/http_text.h"

namespace dragonflymill {

namespace {

using http::http_response;

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned wrong_method = 405;
constexpr unsigned conflict = 409;
constexpr unsigned failed = 500;

auto status_of(error_kind kind) -> unsigned
{
    switch (kind) {
    case error_kind::invalid_input:
    case error_kind::corrupt:
        return bad_request;
    case error_kind::internal:
        return failed;
    default:
        return conflict;
    }
}

auto answer_of(const result<void>& done) -> http_response
{
    if (done.has_error()) {
        const error& why = done.error();
        return http::error_response(status_of(why.kind()), to_string(why.kind()),
                                    why.message() + "; " + why.remedy());
    }
    return http_response{200, "application/json", {}, "{}\n"};
}

auto take_bundle(const http::http_request& request, const admin_handlers& handlers) -> http_response
{
    const auto package = decode_package(request.body);
    if (package.has_error()) {
        return answer_of(package.error());
    }
    return answer_of(handlers.take_bundle(package.value()));
}

} // namespace

auto answer_admin(const http::http_request& request, const admin_handlers& handlers) -> http::http_response
{
    const std::string path = request.path();
    const bool is_status = path == "/admin/status";
    if (!is_status && path != "/admin/drain" && path != "/admin/bundle") {
        return http::error_response(not_found, "not_found",
                                    "use GET /admin/status, POST /admin/drain or POST /admin/bundle");
    }
    if (request.method != (is_status ? "GET" : "POST")) {
        return http::error_response(wrong_method, "wrong_method", is_status ? "use GET" : "use POST");
    }
    if (is_status) {
        return http_response{200, "application/json", {}, to_json(handlers.status())};
    }
    return path == "/admin/drain" ? answer_of(handlers.drain()) : take_bundle(request, handlers);
}

} // namespace dragonflymill
