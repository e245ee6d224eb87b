#include "relay/engine_call.hpp"

namespace shuntbank::relay {

void expect_unnamed_answer(OutgoingRequest& call, const HeaderNames& names) {
  call.accepts_answer = [id_field = names.request_id](int, const HttpHeaders& headers) {
    return headers.get(id_field).empty();
  };
  call.answer_id = "";
  call.max_answer_bytes = kMaxCallAnswerBytes;
}

}  // namespace shuntbank::relay
