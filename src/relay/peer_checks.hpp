#ifndef FUCHSIAPROXY_RELAY_PEER_CHECKS_HPP
#define FUCHSIAPROXY_RELAY_PEER_CHECKS_HPP

#include "relay_fixture.hpp"

// Its macros must not precede other headers.
#include <CppUTest/TestHarness.h>

namespace fuchsiaproxy::relay
{

/// Waits until connection `n` of `at` has received `text`.
inline testing::raw_peer& wait_for_peer(data_path& path, testing::raw_listener& at, std::size_t n,
                                        std::string const& text)
{
    CHECK(path.until([&]() { return at.peers.size() > n && at.peers[n]->has(text); }));
    return *at.peers.at(n);
}

} // namespace fuchsiaproxy::relay

#endif
