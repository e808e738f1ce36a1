{{%AUTOESCAPE context="HTML"}}
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>hallpier: membership of controllers, measured</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
img { width: 36em; }
</style>
</head>
<body>
<h1>Membership of controllers, measured</h1>
<p>Simulated nodes in fake time, not real machines: three controllers, {{RUNS}} runs for each point
(a tenth of that where a run is an hour), seeds from {{SEED}}. Off: the leader's lease alone.</p>
{{#EXPERIMENT}}
<h2>{{TITLE}}</h2>
<p>{{EXPLANATION}}</p>
<p><img src="{{NAME}}.svg" alt="{{TITLE}}"></p>
<table>
<tr><th>{{X_LABEL}}</th><th>off: median</th><th>90 %</th><th>99 %</th><th>on: median</th><th>90 %</th><th>99 %</th><th>runs</th></tr>
{{#POINT}}
<tr><td>{{X}}</td><td>{{OFF_MEDIAN}}</td><td>{{OFF_P90}}</td><td>{{OFF_P99}}</td><td>{{ON_MEDIAN}}</td><td>{{ON_P90}}</td><td>{{ON_P99}}</td><td>{{SAMPLES}}</td></tr>
{{/POINT}}
</table>
{{/EXPERIMENT}}
</body>
</html>
