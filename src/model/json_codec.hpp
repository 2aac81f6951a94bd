#ifndef FUCHSIAPROXY_MODEL_JSON_CODEC_HPP
#define FUCHSIAPROXY_MODEL_JSON_CODEC_HPP

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/model/configuration.hpp"
#include "json_reader.hpp"

namespace fuchsiaproxy::model::detail
{

nlohmann::json encode(availability_zone const& it);
nlohmann::json encode(network_delays const& it);
nlohmann::json encode(member const& it);
nlohmann::json encode(join_request const& it);
nlohmann::json encode(service const& it);
nlohmann::json encode(place const& it);
nlohmann::json encode(cap const& it);
nlohmann::json encode(shift const& it);
nlohmann::json encode(drain const& it);
/// Omits empty sections, zero delays and version 0, so that documents can be merged.
nlohmann::json encode(configuration const& it);

void decode(json_reader const& in, availability_zone& it);
void decode(json_reader const& in, network_delays& it);
void decode(json_reader const& in, member& it);
void decode(json_reader const& in, join_request& it);
void decode(json_reader const& in, service& it);
void decode(json_reader const& in, place& it);
void decode(json_reader const& in, cap& it);
void decode(json_reader const& in, shift& it);
void decode(json_reader const& in, drain& it);
void decode(json_reader const& in, configuration& it);

template <class T>
T decode_as(json_reader const& in)
{
    T it;
    decode(in, it);
    return it;
}

/// Returns whether two values have the same JSON representation.
template <class T>
bool equal_as_json(T const& a, T const& b)
{
    return encode(a) == encode(b);
}

} // namespace fuchsiaproxy::model::detail

#endif
