#include "proxy/control_call.h"

namespace camphorrail::proxy {

ports::upstream_call to_call(const ports::control_request& from) {
    ports::upstream_call call{from.method, from.path, {}, from.body};
    for (const auto& field : from.fields) {
        call.fields.emplace_back(field.name, field.value);
    }
    return call;
}

} // namespace camphorrail::proxy
