#include "standins/standin_server.h"

#include <utility>

namespace dragonflymill::standins {

void standin_server::start(std::uint16_t port, http_server::handler handle)
{
    thread_.run([&] { http_.emplace(thread_.io(), port, std::move(handle)); });
}

void standin_server::stop()
{
    thread_.run([this] { http_.reset(); });
    thread_.stop();
}

} // namespace dragonflymill::standins
