// The official OpenAI client, unchanged, against a running node: BASE_URL, API_KEY and MODEL come from
// the environment. scripts/test-openai-client starts the site.
import assert from "node:assert";
import OpenAI from "openai";

const client = new OpenAI({ baseURL: process.env.BASE_URL, apiKey: process.env.API_KEY, maxRetries: 0 });
const model = process.env.MODEL;
const messages = [{ role: "user", content: "Who owns the lantern of Avellaneda?" }];

const models = await client.models.list();
assert(models.data.some((entry) => entry.id === model));

const whole = await client.chat.completions.create({ model, messages, max_tokens: 12 });
const text = whole.choices[0].message.content;
assert.strictEqual(whole.usage.completion_tokens, 12);

let streamed = "";
let usage = null;
const stream = await client.chat.completions.create({
  model, messages, max_tokens: 12, stream: true, stream_options: { include_usage: true },
});
for await (const chunk of stream) {
  streamed += chunk.choices[0]?.delta?.content ?? "";
  usage = chunk.usage ?? usage;
}
assert.strictEqual(streamed, text);
assert.strictEqual(usage.completion_tokens, 12);

const legacy = await client.completions.create({ model, prompt: "name a sword", max_tokens: 3 });
assert.strictEqual(legacy.choices[0].text.trim().split(" ").length, 3);

const wrongKey = new OpenAI({ baseURL: process.env.BASE_URL, apiKey: "wrong", maxRetries: 0 });
await assert.rejects(wrongKey.models.list(), OpenAI.AuthenticationError);
await assert.rejects(client.chat.completions.create({ model: "nobody", messages }), OpenAI.NotFoundError);
await assert.rejects(client.chat.completions.create({ model, messages: "x" }), OpenAI.BadRequestError);

console.log("the official client works unchanged: models, whole, streamed, usage, legacy, errors");
